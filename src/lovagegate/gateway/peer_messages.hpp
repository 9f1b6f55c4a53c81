#ifndef LOVAGEGATE_GATEWAY_PEER_MESSAGES_HPP
#define LOVAGEGATE_GATEWAY_PEER_MESSAGES_HPP

#include "lovagegate/access/store_contact.hpp"
#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/crashes/crash_traits.hpp"
#include "lovagegate/gateway/store_revision.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Datagrams between instances.
namespace lovagegate::gateway {

/// States that the sending instance owns one engine, that is, gives the orders
/// to it.
struct engine_claim
{
    std::string engine;
    fencing_token token = 0;
    duration since_last_order{}; ///< when the message was sent
    std::uint32_t running =
        0; ///< number of requests in the engine's last report
    std::uint32_t waiting = 0;
    std::uint32_t kv_permille = 0; ///< share of the token memory in use
    /// Share of the streams recently served by the engine, from all instances,
    /// that had a pause longer than their route allows.
    std::uint32_t halting_permille = 0;
    std::uint32_t free_adapter_slots =
        0; ///< adapters that can be loaded at once
};

/// State of one instance, as passed on by its peers.
struct member_record
{
    std::string address; ///< IP address, identifies the machine
    incarnation start = 0;
    std::uint64_t beat = 0; ///< increases while the process runs
    bool leaving = false;
    std::uint64_t config_version = 0;
    /// Newest revisions known to the instance, of the operators' keys and of
    /// the targets' entries.
    store_revision operator_revision;
    store_revision target_revision;
    bool store_silent = false; ///< the store doesn't answer this instance
    std::string failure_domain;
    std::uint64_t members =
        0; ///< live instances that it knows, itself included
    /// Whether the claims are omitted; the receiver keeps those it has.
    bool claims_omitted = false;
    std::vector<engine_claim> claims;
    /// Whether the instance has found the deployment's other instances; see
    /// ownership::fleet_contact. Earlier versions don't tell; they count as
    /// having found them.
    bool established = false;
    /// Share of a core that the instance may use; 0 if it says nothing.
    std::uint32_t cpu_permille = 0;
};

/// Sent periodically by each instance.
struct heartbeat
{
    member_record self;
    std::vector<member_record> others;
    std::optional<access::contact_age> contact{}; ///< with the store
};

/// A version of a model's adapter.
struct adapter_ref
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0; ///< 0: the newest
};

/// Requests that the instance which owns an engine make an adapter resident
/// there.
struct adapter_request
{
    std::uint64_t number = 0; ///< chosen by the sender; the reply repeats it
    std::string engine;
    adapter_ref wanted;
    bool was_absent =
        false; ///< the engine has just rejected a request for lack of it
    duration time_left{}; ///< for which the request can wait
};

enum class adapter_status : std::uint8_t
{
    resident, ///< requests may be sent
    expected, ///< the load should be complete, but no report confirms it yet
    loading,  ///< another reply follows
    refused,  ///< no slot is available, or the instance doesn't own the engine
};

struct adapter_reply
{
    std::uint64_t number = 0;
    std::string engine;
    adapter_status status = adapter_status::refused;
    std::uint64_t version = 0; ///< version that is resident
};

/// Reports the sender's use of an engine to the instance that owns it.
struct adapter_usage
{
    std::string engine;
    std::vector<std::string>
        adapters; ///< MODEL/NAME of all those with open requests
    /// Streams that ended since the last message, and how many of them had a
    /// pause longer than their route allows.
    std::uint32_t streams = 0;
    std::uint32_t halting = 0;
    /// Requests that the sender has open at the engine, or may send by its
    /// owner's admission; earlier versions don't tell them.
    std::uint32_t open_requests = 0;
};

/// Reports that connections to an engine broke during requests, which may mean
/// that the engine crashed.
struct crash_notice
{
    std::string engine; ///< run of the engine, see engine_run()
    /// The requests. Those to which the engine had begun to answer are listed
    /// without the parts of their prompts.
    std::vector<crashes::crash_traits> requests;
    bool run_ended = false; ///< nothing listens at the engine's address
    /// When the message was sent, since the latest of the connections broke and
    /// since the run ended; above zero if a crash is told again.
    duration since_break{};
    duration since_end{};
};

/// Names the crashes whose evidence the sender has, see crashes::crash_log.
/// The receiver sends the evidence that isn't named.
struct crash_digest
{
    enum class purpose : std::uint8_t
    {
        announcement, ///< a receiver that lacks evidence asks for it
        question,     ///< the receiver answers with its own digest
        answer
    };
    std::vector<fingerprint> crashes;
    purpose use = purpose::announcement;
};

/// Reports that engines answered requests with these parts of prompts, which
/// were suspected of crashing engines.
struct answered_prompt_parts
{
    std::vector<fingerprint> parts;
    duration age{}; ///< of the answers, when the message was sent
    /// Requests that were answered themselves.
    std::vector<fingerprint> requests{};
};

/// Parts of prompts that the sender blocks because they crash engines.
struct blocked_prompt_parts
{
    struct entry
    {
        fingerprint part = 0;
        /// Of the crashes that led to the block, and the latest one, when the
        /// message was sent.
        duration since_first_crash{};
        duration since_last_crash{};
        /// Whether requests may try the part, and how many have.
        bool in_doubt = false;
        std::uint32_t trials = 0;
        duration since_last_trial{}; ///< when the message was sent
    };
    std::vector<entry> parts;
};

/// What a target said of the requests that it takes from all instances.
struct limit_notice
{
    std::string target;
    std::int64_t started_ms = 0;      ///< start of the target that said it
    std::optional<double> per_second; ///< nothing: any number
    duration age{}; ///< of the target's answer, when the message was sent
};

/// Changes in the platform's store, sent by an instance that reads it; see
/// pack_changes() and unpack_changes().
struct store_changes
{
    /// Identifies a previous value that serves as compression dictionary.
    struct base
    {
        std::string key;
        store_revision revision;
    };

    bool of_targets =
        false; ///< of the targets' entries; otherwise of the operators' keys
    store_revision after;    ///< changes up to this revision were sent before
    store_revision revision; ///< of the last change in this message
    /// For how much longer deleted entries may merely have expired.
    duration doubt_left{};
    std::vector<base> bases{};
    std::string
        packed{}; ///< compressed changes; empty if they are too large to send
    /// Addresses to which the receiver passes the message on, without these.
    std::vector<std::string> relay_to{};
    /// Changes that are too large for a datagram are sent in several messages
    /// that differ only in `packed` and `part`.
    std::uint32_t part = 0;
    std::uint32_t part_count = 1;
    fingerprint content = 0; ///< of the joined `packed`, if there are parts
};

/// Says that its sender reads the store for the others, or tries to; see
/// reading::reader_watch.
struct reader_keepalive
{
    std::string reader; ///< address of the first sender
    /// Addresses to which the receiver passes the message on, without these.
    std::vector<std::string> relay_to{};
};

/// Reports the tokens of workspaces that the sender's callers asked for and
/// that it admitted, to the instance that coordinates their limits. It repeats
/// sums over a window instead of changes, so that lost and duplicated reports
/// do no harm.
struct quota_report
{
    struct entry
    {
        std::uint64_t workspace = 0;
        std::int64_t admitted = 0;     ///< in the window
        std::int64_t demand_per_s = 0; ///< over the last seconds
    };
    incarnation start = 0;
    std::uint64_t sequence = 0;
    /// Identifies the sender's list of coordinators.
    std::uint32_t coordinators = 0;
    std::uint32_t instances = 0; ///< largest number known in the last minute
    /// A report with many workspaces is sent in several messages that differ
    /// only in `part` and `entries`.
    std::uint32_t part = 0;
    std::uint32_t part_count = 1;
    std::vector<entry> entries; ///< workspaces used within the window
};

/// Answer to a quota_report: what the receiver may admit.
struct quota_share
{
    struct entry
    {
        std::uint64_t workspace = 0;
        std::uint32_t fraction = 0; ///< of demand, in units of 1/10,000
        std::int64_t room = 0; ///< tokens left for all reporters, may be < 0
        /// For how long demand may go on as reported without a new answer.
        std::uint32_t horizon_ms = 0;
    };
    incarnation start = 0; ///< of the sender
    std::uint64_t sequence = 0;
    std::uint32_t coordinators = 0; ///< that of the report
    /// The receiver's latest report that was taken into account.
    incarnation report_start = 0;
    std::uint64_t report_sequence = 0;
    std::uint32_t reporters = 0; ///< instances that report to the sender
    std::uint32_t instances = 0; ///< between which it divides limits
    std::uint32_t part = 0;
    std::uint32_t part_count = 1;
    /// Workspaces that have used half of their limit or more, or will soon; all
    /// others may admit what is asked for.
    std::vector<entry> entries;
};

/// How the use of a permit ended.
enum class permit_outcome : std::uint8_t
{
    answered, ///< the target answered the request
    rejected, ///< the target refused it without running it
    failed,   ///< the target failed, or could not be reached
    unused,   ///< the request was not sent, or its end says nothing
};

/// Gives back permits of a service; of any if its name is empty.
struct place_release
{
    struct entry
    {
        std::uint64_t number = 0; ///< of the request that got the permit
        permit_outcome outcome = permit_outcome::unused;
        duration run_time{}; ///< from sending the request; if answered
    };
    std::string service;
    std::vector<entry> entries;
};

/// Asks the coordinator of a plain service for a permit.
struct place_request
{
    std::string service;
    std::uint64_t number = 0;   ///< chosen by the sender; the replies repeat it
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint64_t workspace = 0; ///< hash; 0: none
    std::uint64_t kind = 0;      ///< hash of the route
    /// When the message was sent; below zero for a late request.
    duration objective_left{};
    duration deadline_left{};
    /// The request was sent without a permit; the reply only says whether the
    /// next ones may be, too.
    bool needs_no_permit = false;
    /// Requests that the sender sent without a permit and that have ended since
    /// its last message, and the time that they ran in total.
    std::uint32_t unpermitted = 0;
    duration unpermitted_run_time{};
    std::vector<place_release::entry> released{};
};

enum class place_answer : std::uint8_t
{
    granted,   ///< the request may be sent to the target
    waiting,   ///< the request is queued; another reply follows
    unmanaged, ///< the request may be sent to any target
};

struct place_grant
{
    std::uint64_t number = 0;
    place_answer answer = place_answer::unmanaged;
    std::string target{};      ///< of a granted permit
    duration expected_wait{};  ///< until the next reply, if queued
    duration no_request_for{}; ///< time in which no permits are needed
};

enum class place_refusal_reason : std::uint8_t
{
    overload, ///< it would be late, or make others late
    late,     ///< it is late already, and others still can be in time
    deadline, ///< it can't be served before its deadline
};

struct place_refusal
{
    std::uint64_t number = 0;
    duration retry_after{};
    place_refusal_reason reason = place_refusal_reason::overload;
};

/// Asks the owner of an engine whether a request may be sent there now.
struct run_request
{
    std::uint64_t number = 0; ///< chosen by the sender; the reply repeats it
    std::string engine;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t prompt_tokens = 0;
    std::uint32_t all_tokens = 0; ///< of prompt and answer
    /// Latency objective of the first event; zero: the answer is no stream.
    duration objective{};
    /// It is sent anyway, because its caller has the beginning of the
    /// answer or other owners refused it, and is only to be counted.
    bool must_run = false;
    /// It is sent only when its adapter has been loaded; run_event::sent
    /// follows then.
    bool waits_for_adapter = false;
};

enum class run_verdict : std::uint8_t
{
    admitted,
    refused,
    not_owner, ///< the receiver doesn't own the engine
};

struct run_reply
{
    std::uint64_t number = 0;
    std::string engine;
    run_verdict verdict = run_verdict::not_owner;
    std::uint32_t open_requests = 0; ///< of all instances, without this one
    /// Open requests that are allowed now: those that have begun and the
    /// window, at most the limit.
    std::uint32_t usable_slots = 0;
};

enum class run_event : std::uint8_t
{
    begun, ///< the first event has come
    ended,
    rejected, ///< the engine refused it for lack of capacity
    failed,
    sent, ///< after a wait for its adapter
};

/// Tells the owner of engines what became of requests that it admitted.
struct run_update
{
    struct entry
    {
        std::string engine;
        std::uint64_t number = 0; ///< of the run_request
        run_event event = run_event::ended;
        duration first_event_time{}; ///< since the send, if it has begun
    };
    std::vector<entry> entries;
};

using peer_message =
    std::variant<heartbeat, adapter_request, adapter_reply, adapter_usage,
                 crash_notice, store_changes, answered_prompt_parts,
                 blocked_prompt_parts, crash_digest, reader_keepalive,
                 limit_notice, quota_report, quota_share, place_request,
                 place_grant, place_refusal, place_release, run_request,
                 run_reply, run_update>;

/// @return the encoded datagram
[[nodiscard]] std::string encode(const peer_message& message);

/// @return the message, or nothing if the bytes are not a valid message
[[nodiscard]] std::optional<peer_message> decode(std::string_view datagram);

} // namespace lovagegate::gateway

#endif
