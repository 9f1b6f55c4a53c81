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

/// What a request needs a lease for.
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

/// A lease that a request may be sent under at once.
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

/// A request that must ask for a lease again, and why.
struct lost_lease
{
    local_id request = 0;
    retry_reason reason = retry_reason::none;
};

/// The entry side of leases: asks owners, repeats, renews and releases.
///
/// Each question has an id of its own, so that a late answer to an abandoned
/// question is recognised and its lease given back.
class lease_client
{
public:
    lease_client(const routing_settings& settings, environment& env,
                 counters& count);

    /// Asks the owner of the adapter's pool for a lease.
    /// @return why it cannot be asked, or refusal::none
    refusal request_lease(local_id request, lease_requirements requirements,
                          time_point now, node::outbox& out);

    /// @return the grant if it can be used, or the request that must ask
    ///         again because its send window has passed
    [[nodiscard]] std::optional<usable_grant>
    on_grant(const instance_id& from, const protocol::lease_grant& grant,
             time_point now, std::vector<lost_lease>& lost);

    [[nodiscard]] std::optional<refused_lease>
    on_refusal(const protocol::lease_refusal& answer);

    void on_queued(const protocol::lease_queued& answer, time_point now);

    /// Ends the use of the request's lease, or gives up waiting for it.
    void end(local_id request, protocol::lease_end how, duration first_token,
             node::outbox& out);

    /// Repeats, renews, releases and follows changes of owner.
    /// @return the requests whose owner is lost
    [[nodiscard]] std::vector<lost_lease> tick(time_point now,
                                               node::outbox& out);

    /// Sends releases that are waiting for the next tick.
    void flush(node::outbox& out);

    [[nodiscard]] std::size_t open() const noexcept { return leases_.size(); }

private:
    struct lease
    {
        local_id request = 0;
        lease_requirements requirements;
        pool_id pool;
        instance_id owner;
        /// When the question and each repeat of it was sent.
        std::vector<time_point> request_times;
        time_point last_contact{}; ///< when the owner last showed that it lives
        std::uint32_t unanswered = 0;    ///< repeats since then
        std::optional<target_id> target; ///< set once granted
    };

    struct width_hint
    {
        std::uint32_t width = 1;
        time_point until{};
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
    std::unordered_map<local_id, local_id> by_request_;
    std::map<std::pair<instance_id, pool_id>,
             std::vector<protocol::released_lease>>
        releases_;
    std::unordered_map<adapter_version, width_hint> widths_;
    time_point next_renewal_{};
};

} // namespace lovagegate::routing

#endif
