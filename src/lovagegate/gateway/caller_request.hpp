#ifndef LOVAGEGATE_GATEWAY_CALLER_REQUEST_HPP
#define LOVAGEGATE_GATEWAY_CALLER_REQUEST_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace lovagegate::gateway {

/// What a caller's request says to the gateway.
struct request_facts
{
    std::string attempt_id; ///< of this attempt; a repeat has another
    std::string host;
    std::optional<duration> time_left; ///< how long the caller waits
    std::string model;                 ///< empty: for a plain service
    std::string adapter;               ///< empty: the base model
    std::uint64_t version = 0;         ///< that the caller wants; 0: the newest
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< bound
    std::string prompt_prefix;       ///< first shared part of the prompt
    std::string resume_after; ///< id of the last event that the caller has
};

/// What a target's answer says to the gateway.
struct answer_facts
{
    bool signed_by_target = false;
    bool not_run = false; ///< the target did not run the request
    bool encoded = false; ///< the body is not the target's own bytes
    bool is_event_stream = false;
};

/// What the gateway adds to a request.
struct target_fields
{
    std::string target; ///< id: another target refuses the request
    duration time_left{};
    std::optional<std::uint32_t> priority;   ///< 0 is the most urgent
    std::uint64_t required_version = 0;      ///< 0: any
    std::optional<std::string> resume_after; ///< replaces the caller's
};

} // namespace lovagegate::gateway

#endif
