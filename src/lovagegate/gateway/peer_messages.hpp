#ifndef LOVAGEGATE_GATEWAY_PEER_MESSAGES_HPP
#define LOVAGEGATE_GATEWAY_PEER_MESSAGES_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Datagrams between instances.
namespace lovagegate::gateway {

/// An instance says that it gives the orders to one engine.
struct engine_claim
{
    std::string engine;
    fencing_token token = 0;
    duration since_last_order{}; ///< at the time of sending
    std::uint32_t running = 0;   ///< requests, by the engine's last report
    std::uint32_t waiting = 0;
    std::uint32_t kv_permille = 0; ///< token memory in use
    /// Of the streams that it served lately, from all instances, those that
    /// paused longer than their route allows.
    std::uint32_t halting_permille = 0;
    std::uint32_t free_adapter_slots =
        0; ///< adapters that could be loaded at once
};

/// What is passed on about one instance.
struct member_record
{
    std::string address; ///< IP number: names the machine
    incarnation start = 0;
    std::uint64_t beat = 0; ///< grows while the process runs
    bool leaving = false;
    std::uint64_t config_version = 0;
    /// Newest changes that it has heard of, of the operator's keys and of the
    /// targets' entries.
    std::uint64_t operator_revision = 0;
    std::uint64_t target_revision = 0;
    bool store_silent = false; ///< the store doesn't answer it
    std::string failure_domain;
    std::uint64_t members = 0; ///< live ones that it knows, with itself
    /// The claims are left out; those known from before go on.
    bool claims_omitted = false;
    std::vector<engine_claim> claims;
};

/// Sent by each instance at a steady rate.
struct heartbeat
{
    member_record self;
    std::vector<member_record> others;
};

/// A model's adapter at a version.
struct adapter_ref
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0; ///< 0: the newest
};

/// Asks the instance that orders an engine to have an adapter there.
struct adapter_request
{
    std::uint64_t number = 0; ///< of the sender; the answer repeats it
    std::string engine;
    adapter_ref wanted;
    bool was_absent = false; ///< the engine lacked it a moment ago
};

enum class adapter_status : std::uint8_t
{
    resident, ///< requests may be sent
    expected, ///< the load should be over by now, though no report says so
    loading,  ///< another answer follows
    refused,  ///< no room, or the instance doesn't order the engine
};

struct adapter_reply
{
    std::uint64_t number = 0;
    std::string engine;
    adapter_status status = adapter_status::refused;
    std::uint64_t version = 0; ///< that is resident
};

/// What the sender's requests do on an engine; for the instance that orders it.
struct adapter_usage
{
    std::string engine;
    std::vector<std::string> adapters; ///< MODEL/NAME, with requests open
    /// Streams that ended since the last message, and those of them that
    /// paused longer than their route allows.
    std::uint32_t streams = 0;
    std::uint32_t halting = 0;
};

/// A request was at an engine when its connection broke: the engine may have
/// crashed.
struct crash_notice
{
    fingerprint request = 0;
    std::string engine;
};

/// Changes in the platform's store, from an instance that reads it; see
/// pack_changes() and unpack_changes().
struct store_changes
{
    /// A value that the changes are compressed with.
    struct base
    {
        std::string key;
        std::uint64_t revision = 0;
    };

    bool of_targets = false;    ///< else of the operator's keys
    std::uint64_t after = 0;    ///< news up to here were told before
    std::uint64_t revision = 0; ///< of the last change in this message
    bool in_doubt = false;      ///< deleted entries may have lapsed
    std::vector<base> bases;
    std::string packed; ///< empty where the changes are too large to send
};

using peer_message = std::variant<heartbeat, adapter_request, adapter_reply,
                                  adapter_usage, crash_notice, store_changes>;

/// @return the datagram
[[nodiscard]] std::string encode(const peer_message& message);

/// @return nothing for bytes that are no message
[[nodiscard]] std::optional<peer_message> decode(std::string_view datagram);

} // namespace lovagegate::gateway

#endif
