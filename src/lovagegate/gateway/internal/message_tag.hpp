#ifndef LOVAGEGATE_GATEWAY_INTERNAL_MESSAGE_TAG_HPP
#define LOVAGEGATE_GATEWAY_INTERNAL_MESSAGE_TAG_HPP

#include <nlohmann/json.hpp>

#include <cstdint>

namespace lovagegate::gateway::internal {

/// First element of each datagram. A message whose layout changes must get a
/// new number.
enum class tag : std::uint8_t
{
    heartbeat = 1,
    adapter_request = 2,
    adapter_reply = 3,
    adapter_usage = 4,
    single_crash_notice = 5, ///< of earlier versions, with one request
    store_changes = 6,
    crash_notice = 7,
    answered_prompt_parts = 8,
    blocked_prompt_parts = 9,
    limit_notice = 10,
    quota_report = 11,
    quota_share = 12,
    crash_digest = 13,
    reader_keepalive = 14,
    place_request = 21,
    place_grant = 22,
    place_refusal = 23,
    place_release = 24,
    run_request = 30,
    run_reply = 31,
    run_update = 32
};

/// @return the value that the number stands for, or the last one
template <typename Enum>
Enum read_enum(const nlohmann::json& j, Enum last)
{
    const auto n = j.get<unsigned>();
    return n < static_cast<unsigned>(last) ? static_cast<Enum>(n) : last;
}

} // namespace lovagegate::gateway::internal

#endif
