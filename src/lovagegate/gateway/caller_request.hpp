#ifndef LOVAGEGATE_GATEWAY_CALLER_REQUEST_HPP
#define LOVAGEGATE_GATEWAY_CALLER_REQUEST_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// The parts of a caller's request that the gateway uses.
struct request_facts
{
    std::string
        attempt_id; ///< of this attempt; a retry by the caller has another one
    std::string host;
    std::optional<duration> time_left; ///< time until the caller's deadline
    std::string model;                 ///< empty for a plain service
    std::string adapter;               ///< empty for the base model
    std::uint64_t version = 0;         ///< requested version; 0: the newest
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< upper bound
    /// Both together, bounded; nothing if they are missing or malformed.
    std::optional<std::uint32_t> token_count;
    std::string key;           ///< secret: never logged or sent on
    bool key_repeated = false; ///< the key was given more than once
    std::string
        prompt_prefix; ///< identifies the first shared part of the prompt
    /// Ids of the prompt's parts that other requests may share, in order.
    std::vector<std::string> shared_prompt_parts;
    std::string own_prompt_part; ///< id of the last part, which isn't shared
    std::string resume_after; ///< id of the last event that the caller received
};

/// The parts of a target's answer that the gateway uses.
struct answer_facts
{
    bool signed_by_target = false;
    bool not_run = false; ///< the target states that it did not run the request
    bool encoded = false; ///< the body has a content coding, so it isn't the
                          ///< target's own bytes
    bool is_event_stream = false;
    bool target_leaves = false; ///< the target states that it will end soon
    /// The target wants no request before this time has passed; only with a
    /// refusal.
    std::optional<duration> accepts_again_after;
    /// Requests per second that the target takes from all instances together;
    /// nothing if it states no limit.
    std::optional<double> request_limit;
    /// A value that should state one of these was malformed and is ignored.
    bool has_malformed_notice = false;
    bool has_malformed_limit = false;
};

/// Fields that the gateway adds to a request.
struct target_fields
{
    std::string target; ///< id; a target with another id refuses the request
    duration time_left{};
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent
    std::uint64_t required_version = 0;    ///< 0: any
    /// Name of the request's workspace, empty for a request without one.
    /// Nothing if the configuration has no workspaces; only then are the
    /// caller's own copy and its key sent on.
    std::optional<std::string> workspace;
    std::optional<std::string>
        resume_after; ///< replaces the value that the caller sent
};

} // namespace lovagegate::gateway

#endif
