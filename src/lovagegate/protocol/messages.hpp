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

/// Messages between instances. Monotonic times are sent as durations, never as
/// time points, since the monotonic clocks of two instances are not comparable.
namespace lovagegate::protocol {

/// Incremented by every change that an older release cannot read.
inline constexpr std::uint32_t protocol_version = 1;

// ---- leases: entry instance and owner of a pool ----

/// Requests a lease of an engine that holds the adapter.
struct lease_request
{
    local_id id = 0;          ///< unique within the sender's incarnation
    std::uint32_t repeat = 0; ///< 0 for the first message, then incremented
    pool_id pool;
    adapter_version adapter;
    priority importance = priority::normal;
    duration deadline{}; ///< time left until the request is useless
    fingerprint print = 0;
    std::uint64_t prefix = 0;     ///< hash of the prompt's start; 0: none
    std::uint32_t suspicions = 0; ///< known target crashes of this fingerprint
    std::vector<target_id> excluded; ///< targets that failed this request
};

/// Permits the request to be sent to the target within the send window. The
/// entry instance counts the window from the time at which it sent the repeat
/// named in the grant, which is never later than the time of the grant.
struct lease_grant
{
    local_id id = 0;
    std::uint32_t repeat = 0; ///< highest repeat of the request received
    pool_id pool;
    target_id target;
    fencing_token token = 0;
    incarnation target_start = 0; ///< incarnation of the target
    duration send_window{};
    duration ttl{};          ///< the lease expires unless it is renewed
    std::uint32_t width = 1; ///< pools over which the adapter is spread
};

/// Refuses a lease request.
struct lease_refusal
{
    local_id id = 0;
    pool_id pool;
    refusal reason = refusal::no_target;
    duration retry_after{};
};

/// Answers a repeated lease_request whose request is in the owner's queue, so
/// that the entry instance knows that the owner is alive.
struct lease_queued
{
    local_id id = 0;
    pool_id pool;
};

/// How the use of a lease ended.
enum class lease_end : std::uint8_t
{
    finished,
    not_sent, ///< released unused
    missing,  ///< the engine reported that it does not hold the adapter
    crashed,  ///< the target crashed while the request ran
    failed,   ///< any other failure of the target
};

/// A lease whose use has ended.
struct released_lease
{
    local_id id = 0;
    lease_end end = lease_end::finished;
    duration first_token{}; ///< from sending to the first token; 0: none
};

/// Releases leases of one pool.
struct lease_release
{
    pool_id pool;
    std::vector<released_lease> leases;
};

/// A lease in use.
struct open_lease
{
    local_id id = 0;
    target_id target;
    adapter_version adapter;
    fingerprint print = 0;
};

/// Renews all leases that the sender holds in the pool, and informs a new owner
/// of them.
struct lease_renewal
{
    pool_id pool;
    std::vector<open_lease> leases;
};

/// Withdraws a lease request that has not been granted.
struct lease_cancel
{
    local_id id = 0;
    pool_id pool;
};

/// State that a leaving owner sends to the next owner.
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
    /// Whether the sender knew every lease that may be open in the pool.
    bool complete = false;
};

// ---- load permits: owner of a pool and permit node ----

/// An adapter load that an owner needs a permit for.
struct wanted_load
{
    local_id id = 0; ///< unique within the sender's incarnation
    priority importance = priority::normal;
    std::uint32_t waiting = 0; ///< requests that the load would serve
    duration deadline{};       ///< of the most urgent of them
    double value = 0.0;        ///< expected uses per second, less those of the
                               ///< evicted adapter
};

/// Requests load permits. Replaces the sender's earlier request for this store
/// and pool.
struct permit_request
{
    std::string store;
    pool_id pool;
    std::vector<wanted_load> wants;
    std::uint32_t in_transit = 0; ///< ordered loads that have not ended
};

/// Permits loads.
struct permit_grant
{
    std::string store;
    pool_id pool;
    std::vector<local_id> wants; ///< loads that may be ordered now
    duration valid_for{};        ///< counted from receipt
};

/// Returns permits whose loads have ended or were not ordered.
struct permit_return
{
    std::string store;
    pool_id pool;
    std::vector<local_id> wants;
    bool unused = false; ///< no load was ordered with these permits
};

// ---- change tickets ----

/// Whole tickets, unchanged from the platform's publication.
struct ticket_push
{
    std::vector<std::string> tickets;
};

/// Summary of the tickets that the sender knows.
struct ticket_digest
{
    ticket_number highest = 0;
    std::uint64_t digest = 0; ///< of all objects with their numbers
    /// Latest known time at which the configuration service answered any
    /// instance.
    wall_time confirmed{};
};

/// Requests tickets that the sender may lack: those in force with a number of
/// at least `from` whose content hash is not in the list.
struct ticket_pull
{
    std::vector<std::uint64_t> held; ///< hashes of the sender's whole tickets
    ticket_number from = 0;
};

// ---- non-idempotent calls: entry instance and home of the request id ----

/// Claims the single run of a non-idempotent call.
struct claim_request
{
    local_id id = 0;
    request_id request;
    wall_time issued{};
    fingerprint print = 0;
};

/// Answer of the home to a claim.
enum class claim_verdict : std::uint8_t
{
    go,       ///< only the sender may run it, once
    running,  ///< the request runs under another claim
    done,     ///< it ran; the answer is attached if it was stored
    unknown,  ///< it may have run
    conflict, ///< the id came with another fingerprint
    stale,    ///< issued before the home's records begin: may have run
    not_home, ///< the receiver is not the home, or its list is not fresh
    full,     ///< provably not run; no capacity for another id
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(claim_verdict v) noexcept;

/// Answer of a completed call, stored for repeats of its request id.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Answers a claim_request.
struct claim_answer
{
    local_id id = 0;
    claim_verdict verdict = claim_verdict::unknown;
    std::optional<stored_answer> answer;
};

/// Reports the outcome of a claimed call. Ignored unless it comes from the
/// claimant whose verdict was go.
struct claim_result
{
    local_id id = 0; ///< of the claim_request
    request_id request;
    request_outcome outcome = request_outcome::unknown;
    std::optional<stored_answer> answer; ///< if it is small enough to store
};

/// Requests a claim's record from the previous home, which refuses the id from
/// then on.
struct claim_transfer
{
    request_id request;
    wall_time issued{};
    duration uptime{}; ///< time since the start of the sender's process
};

/// Answers a claim_transfer.
struct claim_transfer_answer
{
    request_id request;
    bool seen = false; ///< the previous home has a record of it
    claim_verdict verdict = claim_verdict::unknown;
    std::optional<stored_answer> answer;
};

// ---- crash quarantine ----

/// Records that a target crashed while a request with the fingerprint ran.
struct suspicion
{
    fingerprint print = 0;
    target_id target;
    incarnation target_start = 0; ///< incarnation of the target that crashed
};

/// Distributes crash evidence among the instances.
struct suspicion_push
{
    std::vector<suspicion> suspicions;
};

// ---- membership ----

/// Phase of an instance's process.
enum class phase : std::uint8_t
{
    starting,
    ready,
    leaving,
};

/// An instance that the sender could not reach.
struct unreachable_peer
{
    instance_id instance;
    incarnation start = 0;
};

/// Periodic message that shows that the sender is alive.
struct heartbeat
{
    phase state = phase::starting;
    ticket_digest tickets;
    std::uint64_t list_index = 0; ///< of the newest instance list seen
    /// When the request was sent to which the platform last answered with that
    /// list as the newest.
    wall_time list_confirmed{};
    /// Instances from which the sender recently received messages, directly or
    /// by report of others: a bounded random sample, see
    /// membership/contact_ages.hpp.
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

/// Process that sent a message.
struct sender
{
    instance_id instance;
    incarnation start = 0;
};

/// A message with its sender.
struct envelope
{
    sender from;
    message body;
};

} // namespace lovagegate::protocol

#endif
