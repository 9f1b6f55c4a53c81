#ifndef LOVAGEGATE_NODE_NODE_HPP
#define LOVAGEGATE_NODE_NODE_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/idempotency/claim_home.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/node/node_status.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/node/permit_set.hpp"
#include "lovagegate/node/platform_schedule.hpp"
#include "lovagegate/node/pool_set.hpp"
#include "lovagegate/routing/router.hpp"
#include "lovagegate/ticket/ticket_book.hpp"

#include <cstdint>

namespace lovagegate::node {

/// Decision code of one instance, a deterministic state machine: each step
/// takes an input and the time and appends outputs. It uses no socket, thread
/// or clock, and the same inputs at the same times give the same outputs.
class node final : private routing::environment
{
public:
    /// @param settings checked settings
    /// @param self name of the instance in the platform's list
    /// @param start incarnation, higher than that of any earlier process with
    ///              this name
    /// @param seed seed of all random choices
    /// @param now start time of the process
    node(const node_settings& settings, instance_id self, incarnation start,
         std::uint64_t seed, instant now = {});
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node() override = default;

    /// Processes one input.
    /// @param now must not be earlier than that of the previous step
    /// @param out outputs are appended in the order of their execution
    void step(const input& in, instant now, outbox& out);

    [[nodiscard]] const counters& counts() const noexcept { return counters_; }
    [[nodiscard]] const instance_id& self() const noexcept { return self_; }
    [[nodiscard]] incarnation start() const noexcept { return start_; }
    [[nodiscard]] protocol::phase phase() const noexcept { return phase_; }
    [[nodiscard]] const ticket::ticket_book& tickets() const noexcept
    {
        return ticket_book_;
    }
    [[nodiscard]] const membership::view& members() const noexcept
    {
        return view_;
    }
    [[nodiscard]] std::size_t open_requests() const noexcept
    {
        return router_.open();
    }
    [[nodiscard]] node_status status() const;

private:
    void on(const caller_request& in, instant now, outbox& out);
    void on(const caller_gone& in, instant now, outbox& out);
    void on(const answer_started& in, instant now, outbox& out);
    void on(const attempt_ended& in, instant now, outbox& out);
    void on(const peer_message& in, instant now, outbox& out);
    void on(const peer_lost& in, instant now, outbox& out);
    void on(const engine_report& in, instant now, outbox& out);
    void on(const engine_unreachable& in, instant now, outbox& out);
    void on(const order_ended& in, instant now, outbox& out);
    void on(const instance_list& in, instant now, outbox& out);
    void on(const published_tickets& in, instant now, outbox& out);
    void on(const platform_unavailable& in, instant now, outbox& out);
    void on(const tick& in, instant now, outbox& out);
    void on(const stop_requested& in, instant now, outbox& out);

    using sender = protocol::sender;
    void receive(const sender& from, const protocol::lease_request& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_grant& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_refusal& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_queued& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_release& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_renewal& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::lease_cancel& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::pool_handover& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::permit_request& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::permit_grant& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::permit_return& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::ticket_push& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::ticket_digest& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::ticket_pull& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::claim_request& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::claim_answer& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::claim_result& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::claim_transfer& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::claim_transfer_answer& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::suspicion_push& m,
                 instant now, outbox& out);
    void receive(const sender& from, const protocol::heartbeat& m, instant now,
                 outbox& out);

    void dispatch(const input& in, instant now, outbox& out);
    void deliver_to_self(instant now, outbox& out, std::size_t from);
    void refresh(instant now, outbox& out);
    void leave_starting_phase(instant now, outbox& out);
    void read_platform_services(instant now, outbox& out);
    void finish_drain(instant now, outbox& out);

    [[nodiscard]] const ticket::declared_state& declared() const override;
    [[nodiscard]] pool_id choose_pool(const target_group& group,
                                      const adapter_version& adapter,
                                      std::uint32_t width,
                                      fingerprint print) const override;
    [[nodiscard]] std::optional<instance_id>
    owner_of(const pool_id& pool) const override;
    [[nodiscard]] std::optional<instance_id>
    home_of(const request_id& request) const override;
    [[nodiscard]] bool quarantined(fingerprint print) const override;
    [[nodiscard]] std::uint32_t crash_count(fingerprint print) const override;
    [[nodiscard]] std::size_t usable_instances() const override;
    void report_crash(const protocol::suspicion& crash) override;
    void report_unresponsive(const instance_id& instance) override;

    node_settings settings_;
    instance_id self_;
    incarnation start_;
    counters counters_;
    protocol::phase phase_ = protocol::phase::starting;
    instant now_;
    time_point stop_requested_at_{}; ///< when the stop was requested
    bool drained_ = false;
    bool ticket_read_pending_ = false;

    ticket::ticket_book ticket_book_;
    membership::view view_;
    propagation::ticket_gossip gossip_;
    idempotency::claim_home claim_home_;
    quarantine::crash_register crashes_;
    pool_set pools_;
    permit_set permits_;
    platform_schedule list_schedule_;
    routing::router router_;
};

} // namespace lovagegate::node

#endif
