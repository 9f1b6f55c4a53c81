#ifndef TESTS_POOL_POOL_FIXTURE_HPP
#define TESTS_POOL_POOL_FIXTURE_HPP

#include "lovagegate/pool/pool_owner.hpp"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace lovagegate::pool::test {

/// A pool owner with simulated engines that the test controls.
struct pool_fixture
{
    counters counts;
    no_crashes oracle;
    pool_settings settings;
    node::outbox out;
    time_point now{1000s};
    pool_owner owner;
    std::map<target_id, ticket::target> targets;
    const protocol::sender entry_instance{instance_id("entry-1"), 1};
    const instance_id permit_node{"permits"};
    local_id next_id = 1;
    bool completes_fencing = true;
    static constexpr local_id first_fencing_order = local_id{1} << 62U;

    explicit pool_fixture(std::size_t engines = 1, std::size_t slots = 1,
                          bool checks_fencing = true,
                          pool_settings s = pool_settings())
        : settings(s),
          owner(pool_id("lm#0"), instance_id("owner"), settings, counts, oracle)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            ticket::target t;
            t.slots = slots;
            t.max_running = 4;
            t.checks_fencing = checks_fencing;
            targets.emplace("engine-" + std::to_string(i), t);
        }
        owner.set_targets(targets, now);
        owner.set_permit_node(permit_node, "store");
    }

    ownership first_listed() const { return {true, true, now, now, true}; }

    /// Makes the owner take over and waits until leases of earlier owners have
    /// ended.
    void become_settled_owner()
    {
        owner.set_ownership(first_listed(), now, out);
        now = predecessor_leases_end(now, settings.lease) +
              settings.lease.report_lag;
        refresh_list();
        report_all({});
        out.clear();
    }

    void refresh_list()
    {
        ownership role = owner.state().role;
        role.list_read = now;
        owner.set_ownership(role, now, out);
    }

    void advance(duration d)
    {
        now += d;
        refresh_list();
        owner.tick(now, out);
        if (completes_fencing)
            complete_fencing();
    }

    local_id request_lease(const std::string& adapter,
                           priority importance = priority::interactive,
                           fingerprint print = 0, duration deadline = 60s)
    {
        now += settings.load.permit_request_interval;
        protocol::lease_request r;
        r.id = next_id++;
        r.pool = pool_id("lm#0");
        r.adapter = {adapter, "1"};
        r.importance = importance;
        r.deadline = deadline;
        r.print = print;
        owner.on_lease_request(entry_instance, r, now, out);
        return r.id;
    }

    void release(local_id id,
                 protocol::lease_end end = protocol::lease_end::finished)
    {
        owner.on_release(entry_instance, {pool_id("lm#0"), {{id, end, 10ms}}},
                         now, out);
    }

    node::engine_report make_report(const std::vector<node::adapter_load>& r,
                                    std::size_t engine = 0) const
    {
        node::engine_report report;
        report.target = target_id("engine-" + std::to_string(engine));
        report.start = 1;
        report.resident = r;
        return report;
    }

    void report(const std::vector<node::adapter_load>& resident,
                std::size_t engine = 0)
    {
        owner.on_report(make_report(resident, engine), now, out);
        if (completes_fencing)
            complete_fencing();
    }

    /// Completes the pending fencing orders.
    /// @return number of fencing orders
    std::size_t complete_fencing(node::order_end end = node::order_end::done)
    {
        std::vector<node::order_engine> fences;
        std::erase_if(out, [&](const node::output& o) {
            const auto* order = std::get_if<node::order_engine>(&o);
            if (order == nullptr || order->order < first_fencing_order)
                return false;
            fences.push_back(*order);
            return true;
        });
        for (const node::order_engine& o : fences)
            owner.on_order_ended({o.target, o.order, end, 0}, now, out);
        return fences.size();
    }

    void report_all(const std::vector<node::adapter_load>& resident)
    {
        for (std::size_t i = 0; i < targets.size(); ++i)
            report(resident, i);
    }

    /// Grants all permits requested so far.
    void permit_all()
    {
        for (const auto& message : sent<protocol::permit_request>()) {
            protocol::permit_grant grant;
            grant.store = message.store;
            grant.pool = message.pool;
            for (const auto& w : message.wants)
                grant.wants.push_back(w.id);
            if (!grant.wants.empty())
                owner.on_permit_grant(grant, now, out);
        }
        std::erase_if(out, [](const node::output& o) {
            const auto* m = std::get_if<node::send_message>(&o);
            return m != nullptr &&
                   std::holds_alternative<protocol::permit_request>(m->body);
        });
    }

    /// Grants permits and completes orders until there are no more orders.
    void complete_orders()
    {
        for (bool any = true; any;) {
            permit_all();
            const auto orders = take_orders();
            any = !orders.empty();
            for (const node::order_engine& o : orders)
                owner.on_order_ended(
                    {o.target, o.order, node::order_end::done, 0}, now, out);
        }
    }

    std::vector<node::order_engine> take_orders()
    {
        std::vector<node::order_engine> orders;
        for (const node::output& o : out) {
            if (const auto* order = std::get_if<node::order_engine>(&o))
                orders.push_back(*order);
        }
        std::erase_if(out, [](const node::output& o) {
            return std::holds_alternative<node::order_engine>(o);
        });
        return orders;
    }

    /// Grants permits and removes the pending orders.
    /// @return number of unloads among the orders
    std::size_t evictions()
    {
        permit_all();
        std::size_t n = 0;
        for (const node::order_engine& o : take_orders())
            n += o.kind == node::order_kind::unload ? 1 : 0;
        return n;
    }

    template <typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const node::output& o : out) {
            const auto* m = std::get_if<node::send_message>(&o);
            if (m == nullptr)
                continue;
            if (const auto* body = std::get_if<Message>(&m->body))
                found.push_back(*body);
        }
        return found;
    }

    bool granted(local_id id) const
    {
        for (const auto& g : sent<protocol::lease_grant>()) {
            if (g.id == id)
                return true;
        }
        return false;
    }

    refusal refused(local_id id) const
    {
        for (const auto& r : sent<protocol::lease_refusal>()) {
            if (r.id == id)
                return r.reason;
        }
        return refusal::none;
    }
};

} // namespace lovagegate::pool::test

#endif
