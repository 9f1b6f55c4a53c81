#ifndef LOVAGEGATE_ROUTING_LEASE_CLIENT_HPP
#define LOVAGEGATE_ROUTING_LEASE_CLIENT_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/routing/environment.hpp"
#include "lovagegate/routing/settings.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagegate::routing {

/// What a lease must provide for one request.
struct lease_requirements
{
    target_group group;
    adapter_version adapter;
    priority importance = priority::normal;
    time_point deadline{};
    fingerprint print = 0;
    std::uint64_t prefix = 0;
    std::vector<target_id> excluded;
};

/// A granted lease whose send window is still open.
struct usable_grant
{
    local_id request = 0;
    target_id target;
    incarnation target_start = 0;
    time_point send_by{}; ///< end of the send window
};

/// A request whose lease was refused.
struct refused_lease
{
    local_id request = 0;
    refusal reason = refusal::no_target;
    duration retry_after{};
};

/// A request whose lease, or wait for one, was lost: a new lease is needed.
struct lost_lease
{
    local_id request = 0;
    retry_reason reason = retry_reason::none;
};

/// Client side of leases on the entry instance: requests leases from pool
/// owners, retries unanswered requests, renews and releases leases.
///
/// Each lease request has its own id, so that a late grant for an abandoned
/// request is recognised and the lease released.
class lease_client
{
public:
    lease_client(const routing_settings& settings, environment& env,
                 counters& count);

    /// Requests a lease from the owner of the adapter's pool.
    /// @return why the request cannot be sent, or refusal::none
    refusal request_lease(local_id request, lease_requirements requirements,
                          time_point now, node::outbox& out);

    /// Handles a grant; releases it if it is unwanted or came too late.
    /// @param lost the request is appended if its send window has passed
    /// @return the grant if the request may be sent under it
    [[nodiscard]] std::optional<usable_grant>
    on_grant(const instance_id& from, const protocol::lease_grant& grant,
             time_point now, std::vector<lost_lease>& lost);

    /// @return the refused request, if it still waits for the lease
    [[nodiscard]] std::optional<refused_lease>
    on_refusal(const protocol::lease_refusal& answer);

    /// Records that the owner is alive and has the request in its queue.
    void on_queued(const protocol::lease_queued& answer, time_point now);

    /// Releases the request's lease, or cancels the pending lease request.
    void end(local_id request, protocol::lease_end how, duration first_token,
             node::outbox& out);

    /// Retries unanswered lease requests, renews leases, sends releases and
    /// redirects renewals when the owner of a pool has changed.
    /// @return the requests that need a new lease, because the owner of the
    ///         pool changed or did not answer
    [[nodiscard]] std::vector<lost_lease> tick(time_point now,
                                               node::outbox& out);

    /// Sends the releases collected since the last tick.
    void flush(node::outbox& out);

    [[nodiscard]] std::size_t open() const noexcept { return leases_.size(); }

private:
    struct lease
    {
        local_id request = 0;
        lease_requirements requirements;
        pool_id pool;
        instance_id owner;
        /// When the lease request and each repeat of it was sent.
        std::vector<time_point> request_times;
        time_point last_contact{};       ///< last sign of life of the owner
        std::uint32_t unanswered = 0;    ///< repeats since last_contact
        std::optional<target_id> target; ///< set once granted
    };

    struct width_hint
    {
        std::uint32_t width = 1;
        time_point valid_until{};
    };

    void send_lease_request(local_id id, const lease& l, time_point now,
                            node::outbox& out) const;
    void release(const instance_id& to, const pool_id& pool,
                 const protocol::released_lease& item);
    [[nodiscard]] std::uint32_t width_of(const adapter_version& a,
                                         time_point now) const;
    void check_unanswered(local_id id, lease& l, time_point now,
                          node::outbox& out, std::vector<lost_lease>& lost);
    void renew(node::outbox& out);
    void erase_lease(local_id id);

    const routing_settings& settings_;
    environment& env_;
    counters& counters_;
    local_id last_id_ = 0;
    std::map<local_id, lease> leases_;
    std::unordered_map<local_id, local_id> lease_by_request_;
    std::map<std::pair<instance_id, pool_id>,
             std::vector<protocol::released_lease>>
        pending_releases_;
    std::unordered_map<adapter_version, width_hint> width_hints_;
    time_point next_renewal_{};
};

} // namespace lovagegate::routing

#endif
