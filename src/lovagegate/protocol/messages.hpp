#ifndef LOVAGEGATE_PROTOCOL_MESSAGES_HPP
#define LOVAGEGATE_PROTOCOL_MESSAGES_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between the instances. Times in them are durations, never points,
/// since the monotonic clocks of two instances are not comparable.
namespace lovagegate::protocol {

/// Raised by every change that an older release cannot read.
inline constexpr std::uint32_t protocol_version = 1;

// ---- leases: entry instance and owner of a pool ----

/// Asks the owner for an engine that holds the adapter.
struct lease_request
{
    local_id id = 0;          ///< unique in the sender's incarnation
    std::uint32_t repeat = 0; ///< 0 for the first, then counted up
    pool_id pool;
    adapter_version adapter;
    priority importance = priority::normal;
    duration deadline{}; ///< time left until the request is useless
    fingerprint print = 0;
    std::uint64_t prefix = 0;        ///< hash of the prompt's start; 0: none
    std::uint32_t suspicions = 0;    ///< target crashes seen with this print
    std::vector<target_id> excluded; ///< targets that failed this request
};

/// The request may be sent to the target until the send window has passed,
/// counted by the entry from the moment at which it sent the repeat of its
/// question that the owner had received last: never later than the grant.
struct lease_grant
{
    local_id id = 0;
    std::uint32_t repeat = 0; ///< highest repeat of the question received
    pool_id pool;
    target_id target;
    fencing_token token = 0;
    incarnation target_start = 0; ///< which run of the target is meant
    duration send_window{};
    duration ttl{};          ///< renewed until the request has ended
    std::uint32_t width = 1; ///< pools over which the adapter is spread
};

struct lease_refusal
{
    local_id id = 0;
    pool_id pool;
    refusal reason = refusal::no_target;
    duration retry_after{};
};

/// The owner holds the request in its queue: the answer to a repeated
/// lease_request, so that the entry knows that the owner lives.
struct lease_queued
{
    local_id id = 0;
    pool_id pool;
};

/// How the use of a lease ended.
enum class lease_end : std::uint8_t
{
    finished,
    not_sent, ///< given back unused
    missing,  ///< the engine said that it does not hold the adapter
    crashed,  ///< the target broke while the request ran
    failed,   ///< any other failure of the target
};

struct released_lease
{
    local_id id = 0;
    lease_end end = lease_end::finished;
    duration first_token{}; ///< from sending to the first token; 0: none
};

struct lease_release
{
    pool_id pool;
    std::vector<released_lease> leases;
};

struct open_lease
{
    local_id id = 0;
    target_id target;
    adapter_version adapter;
    fingerprint print = 0;
};

/// Keeps leases alive, and tells a new owner of them: all that the sender
/// holds in the pool.
struct lease_renewal
{
    pool_id pool;
    std::vector<open_lease> leases;
};

struct lease_cancel
{
    local_id id = 0;
    pool_id pool;
};

/// A departing owner's knowledge, to the next owner.
struct pool_handover
{
    pool_id pool;
    struct holder_lease
    {
        instance_id holder;
        open_lease lease;
        incarnation start = 0; ///< of the holder
    };
    std::vector<holder_lease> leases;
    struct engine_token
    {
        target_id target;
        fencing_token token = 0;
    };
    std::vector<engine_token> tokens;
    /// The sender knew of every lease that may be open in the pool.
    bool complete = false;
};

// ---- load permits: owner of a pool and permit node ----

struct wanted_load
{
    local_id id = 0; ///< of the want, unique in the sender's incarnation
    priority importance = priority::normal;
    std::uint32_t waiting = 0; ///< requests that the load would serve
    duration deadline{};       ///< of the most urgent of them
    double value = 0.0;        ///< expected uses per second, net of victim
};

/// Replaces the sender's earlier wants for this store and pool.
struct permit_request
{
    std::string store;
    pool_id pool;
    std::vector<wanted_load> wants;
    std::uint32_t in_transit = 0; ///< loads ordered and not yet ended
};

struct permit_grant
{
    std::string store;
    pool_id pool;
    std::vector<local_id> wants; ///< that may be ordered now
    duration valid_for{};        ///< counted from receipt
};

/// Loads that ended or permits given back.
struct permit_return
{
    std::string store;
    pool_id pool;
    std::vector<local_id> wants;
    bool unused = false; ///< no load was ordered under them
};

// ---- change tickets ----

/// Whole tickets, as the platform published them.
struct ticket_push
{
    std::vector<std::string> tickets;
};

struct ticket_digest
{
    ticket_number highest = 0;
    std::uint64_t digest = 0; ///< of all objects with their numbers
    /// When the configuration service was last known to answer some instance.
    wall_time confirmed{};
};

/// Asks for tickets that the sender may lack: those in force with a number of
/// at least `from` whose content is not in the list.
struct ticket_pull
{
    std::vector<std::uint64_t> held; ///< hashes of the sender's whole tickets
    ticket_number from = 0;
};

// ---- non-idempotent calls: entry instance and home of the request id ----

struct claim_request
{
    local_id id = 0;
    request_id request;
    wall_time issued{};
    fingerprint print = 0;
};

enum class claim_verdict : std::uint8_t
{
    go,       ///< the sender, and nobody else, may run it once
    running,  ///< another claim runs
    done,     ///< it ran; the answer is attached if it was kept
    unknown,  ///< it may have run
    conflict, ///< the id came with another fingerprint
    stale,    ///< issued before what the home can know about: may have run
    not_home, ///< the receiver is not the home, or its list is not fresh
    full,     ///< provably not run, and no memory for another id
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(claim_verdict v) noexcept;

struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

struct claim_answer
{
    local_id id = 0;
    claim_verdict verdict = claim_verdict::unknown;
    std::optional<stored_answer> answer;
};

/// Counts only when it comes from the claimant that the home said "go" to.
struct claim_result
{
    local_id id = 0; ///< of the claim_request
    request_id request;
    request_outcome outcome = request_outcome::unknown;
    std::optional<stored_answer> answer; ///< if it is small enough to keep
};

/// A new home asks the previous one, which from then on refuses the id.
struct claim_transfer
{
    request_id request;
    wall_time issued{};
    duration uptime{}; ///< how long the sender's process has been running
};

struct claim_transfer_answer
{
    request_id request;
    bool seen = false; ///< the previous home has a record of it
    claim_verdict verdict = claim_verdict::unknown;
    std::optional<stored_answer> answer;
};

// ---- crash quarantine ----

/// A target broke while the request ran.
struct suspicion
{
    fingerprint print = 0;
    target_id target;
    incarnation target_start = 0; ///< which run of the target broke
};

struct suspicion_push
{
    std::vector<suspicion> suspicions;
};

// ---- membership ----

enum class phase : std::uint8_t
{
    starting,
    ready,
    leaving,
};

/// One instance that the sender could not reach.
struct unreachable_peer
{
    instance_id instance;
    incarnation start = 0;
};

struct heartbeat
{
    phase state = phase::starting;
    ticket_digest tickets;
    std::uint64_t list_index = 0; ///< of the newest instance list seen
    /// When the platform was last asked and named that list as the newest.
    wall_time list_confirmed{};
    /// Of which instances the sender heard lately, at first or second hand:
    /// a bounded random sample, see membership/contact_ages.hpp.
    std::string heard;
    std::vector<unreachable_peer> unreachable;
    bool reply_wanted = false;
};

using message =
    std::variant<lease_request, lease_grant, lease_refusal, lease_queued,
                 lease_release, lease_renewal, lease_cancel, pool_handover,
                 permit_request, permit_grant, permit_return, ticket_push,
                 ticket_digest, ticket_pull, claim_request, claim_answer,
                 claim_result, claim_transfer, claim_transfer_answer,
                 suspicion_push, heartbeat>;

/// What a message says about its sender.
struct sender
{
    instance_id instance;
    incarnation start = 0;
};

struct envelope
{
    sender from;
    message body;
};

} // namespace lovagegate::protocol

#endif
