#ifndef TESTS_NODE_SMALL_SITE_HPP
#define TESTS_NODE_SMALL_SITE_HPP

#include "lovagegate/node/node.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::tests {

inline const char* const site_ticket = R"({"ticket": 1,
 "services": {"digest": {"group": "gpu", "priority": "interactive"}},
 "adapters": {"crew": {"model": "base", "versions": ["2"],
              "services": ["digest"]}},
 "targets": {"e1": {"group": "gpu", "kind": "engine", "address": "127.0.0.1",
             "port": 9001, "failure_domain": "a", "model": "base",
             "slots": 2, "max_running": 8, "checks_fencing": true}},
 "stores": {"weights": {"loads_per_second": 4, "at_full_speed": 2,
            "in_transit": 16}}})";

/// Instances connected by a lossless message queue, and one engine.
class small_site
{
public:
    explicit small_site(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            const instance_id id("i" + std::to_string(i));
            list_.instances.push_back({id, "127.0.0.1",
                                       static_cast<std::uint16_t>(7000 + i),
                                       failure_domain{"a"}, false});
            nodes_.emplace(id, std::make_unique<node::node>(
                                   node::node_settings{}, id, 1, i, now_));
        }
        list_.index = 1;
    }

    node::node& at(const std::string& id)
    {
        return *nodes_.at(instance_id(id));
    }

    void step(const instance_id& to, const node::input& in)
    {
        node::outbox out;
        nodes_.at(to)->step(in, now_, out);
        for (node::output& o : out)
            apply_output(to, std::move(o));
    }

    void advance_time(duration d)
    {
        for (const time_point end = now_.mono + d; now_.mono < end;) {
            now_.mono += node::tick_interval;
            now_.wall += std::chrono::duration_cast<std::chrono::milliseconds>(
                node::tick_interval);
            for (const auto& [id, n] : nodes_)
                step(id, node::tick{});
            deliver();
        }
    }

    /// Advances the time without a step of any instance.
    void pause(duration d)
    {
        now_.mono += d;
        now_.wall += std::chrono::duration_cast<std::chrono::milliseconds>(d);
    }

    std::vector<node::start_attempt> attempts;
    std::vector<node::finish_request> finished;
    std::size_t loads = 0;

private:
    void deliver()
    {
        while (!queue_.empty()) {
            const auto [from, sent] = std::move(queue_.front());
            queue_.pop_front();
            step(sent.to, node::peer_message{{{from, 1}, sent.body}});
        }
    }

    void apply_output(const instance_id& from, node::output o)
    {
        if (auto* m = std::get_if<node::send_message>(&o))
            queue_.emplace_back(from, std::move(*m));
        else if (auto* a = std::get_if<node::start_attempt>(&o))
            attempts.push_back(*a);
        else if (auto* f = std::get_if<node::finish_request>(&o))
            finished.push_back(*f);
        else if (auto* p = std::get_if<node::poll_engine>(&o))
            step(from, report(p->target));
        else if (auto* r = std::get_if<node::read_platform>(&o))
            answer(from, r->part);
        else if (auto* e = std::get_if<node::order_engine>(&o))
            apply_order(from, *e);
    }

    [[nodiscard]] node::engine_report report(const target_id& target) const
    {
        node::engine_report r;
        r.target = target;
        r.start = 5;
        r.highest_token = token_;
        r.resident = resident_;
        return r;
    }

    void answer(const instance_id& to, node::platform_part part)
    {
        // Like a watch, only a read that finds a change is answered at once.
        if (answered_[{to, part}]++ > 0)
            return;
        if (part == node::platform_part::instances)
            step(to, list_);
        else
            step(to, node::published_tickets{1, {site_ticket}});
    }

    void apply_order(const instance_id& from, const node::order_engine& e)
    {
        token_ = std::max(token_, e.token);
        // A load order for a resident adapter only raises the fencing token.
        const bool held =
            std::ranges::find(resident_, e.adapter,
                              &node::adapter_load::adapter) != resident_.end();
        if (e.kind == node::order_kind::load && !held) {
            ++loads;
            resident_.push_back({e.adapter, 0, 0});
        }
        step(from, node::order_ended{e.target, e.order, node::order_end::done,
                                     token_});
    }

    instant now_{time_point{100s}, wall_time{100s}};
    node::instance_list list_;
    std::map<instance_id, std::unique_ptr<node::node>> nodes_;
    std::deque<std::pair<instance_id, node::send_message>> queue_;
    std::map<std::pair<instance_id, node::platform_part>, int> answered_;
    std::vector<node::adapter_load> resident_;
    fencing_token token_ = 0;
};

inline node::caller_request completion(local_id id)
{
    node::caller_request call;
    call.id = id;
    call.model = "crew";
    call.print = id;
    return call;
}

} // namespace lovagegate::tests

#endif
