#ifndef LOVAGEGATE_TESTS_IDEMPOTENCY_CLAIM_SIMULATION_HPP
#define LOVAGEGATE_TESTS_IDEMPOTENCY_CLAIM_SIMULATION_HPP

#include "lovagegate/idempotency/claim_home.hpp"
#include "lovagegate/membership/view.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::idempotency {

/// Simulates a few instances with delayed instance lists, cut links and clock
/// offsets, stepped by a test. Counts the runs of each request id.
class claim_simulation
{
public:
    static constexpr std::size_t size = 5;

    claim_simulation()
    {
        for (std::size_t i = 0; i < size; ++i) {
            listed.insert(i);
            start(i);
        }
        publish();
        advance(120s); // long enough that every tenure exceeds takeover_wait
    }

    struct instance
    {
        counters count;
        std::unique_ptr<membership::view> view;
        std::unique_ptr<claim_home> home;
        incarnation run = 0;
        bool paused = false;
        bool platform_unreachable = false;
        duration list_delay{};
        std::chrono::milliseconds clock_offset{};
        std::map<local_id, request_id>
            open_claims; ///< claims without an answer
        std::vector<protocol::envelope> inbox;
    };

    static instance_id id_of(std::size_t i)
    {
        return instance_id("i" + std::to_string(i));
    }
    static std::size_t index_of(const instance_id& i)
    {
        return std::size_t(i.str().back() - '0');
    }
    instant clock_of(std::size_t i) const
    {
        return {now, wall(now) + nodes[i].clock_offset};
    }
    static wall_time wall(time_point t)
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
            t.time_since_epoch() + 1'000'000s));
    }

    /// Restarts the process of an instance without any state.
    void start(std::size_t i)
    {
        instance& n = nodes[i];
        n.run = ++last_incarnation;
        n.open_claims.clear();
        n.inbox.clear();
        n.paused = false;
        n.view = std::make_unique<membership::view>(
            id_of(i), membership::membership_settings{}, n.count, i, now);
        n.home =
            std::make_unique<claim_home>(id_of(i), claim_settings{}, n.count);
    }

    /// Publishes the present list on the platform.
    void publish()
    {
        node::instance_list l;
        l.index = lists.size() + 1;
        for (const std::size_t i : listed)
            l.instances.push_back({id_of(i), "127.0.0.1", 1,
                                   failure_domain("d"), leaving.contains(i)});
        lists.emplace_back(now, l);
    }

    void read_list(std::size_t i)
    {
        instance& n = nodes[i];
        if (n.paused || n.platform_unreachable)
            return;
        const node::instance_list* seen = &lists.front().second;
        for (const auto& [at, l] : lists)
            if (at + n.list_delay <= now)
                seen = &l;
        node::instance_list copy = *seen;
        copy.asked = clock_of(i);
        n.view->on_list(copy, clock_of(i));
    }

    /// Advances the time in steps. In each step, every running instance reads
    /// the list and ticks.
    void advance(duration d)
    {
        constexpr duration step = 1s;
        for (const time_point end = now + d; now < end; now += step)
            for (std::size_t i = 0; i < size; ++i) {
                read_list(i);
                if (nodes[i].paused)
                    continue;
                node::outbox out;
                // No heartbeats are sent: the list is the only evidence.
                nodes[i].home->tick(clock_of(i), out);
                send_outbox(i, out);
            }
        deliver();
    }

    /// Sends a request, or a repeat of it, through an entry instance.
    void send(std::size_t entry, const std::string& request, time_point issued,
              std::chrono::milliseconds caller_skew)
    {
        instance& n = nodes[entry];
        if (n.paused)
            return;
        const auto home = n.view->first_listed(home_key(request_id(request)));
        if (!home)
            return;
        const local_id id = ++last_claim_id;
        n.open_claims.emplace(id, request);
        node::outbox out;
        out.push_back(node::send_message{
            *home, protocol::claim_request{id, request_id(request),
                                           wall(issued) + caller_skew, 7}});
        send_outbox(entry, out);
    }

    void send_outbox(std::size_t from, const node::outbox& out)
    {
        for (const node::output& o : out) {
            const auto& m = std::get<node::send_message>(o);
            const std::size_t to = index_of(m.to);
            if (cut_links.contains({std::min(from, to), std::max(from, to)}))
                continue;
            const protocol::envelope e{{id_of(from), nodes[from].run}, m.body};
            nodes[to].inbox.push_back(e);
            if (duplicate_messages)
                nodes[to].inbox.push_back(e);
        }
    }

    void deliver()
    {
        for (int round = 0; round < 8; ++round)
            for (std::size_t i = 0; i < size; ++i) {
                if (nodes[i].paused)
                    continue;
                const auto batch = std::move(nodes[i].inbox);
                nodes[i].inbox.clear();
                for (const protocol::envelope& e : batch)
                    dispatch(i, e);
            }
    }

    void dispatch(std::size_t i, const protocol::envelope& e)
    {
        instance& n = nodes[i];
        node::outbox out;
        const instant t = clock_of(i);
        if (const auto* m = std::get_if<protocol::claim_request>(&e.body))
            n.home->on_claim(e.from, *m, t, *n.view, out);
        if (const auto* m = std::get_if<protocol::claim_result>(&e.body))
            n.home->on_result(e.from, *m, t);
        if (const auto* m = std::get_if<protocol::claim_transfer>(&e.body))
            n.home->on_transfer(e.from, *m, t, *n.view, out);
        if (const auto* m =
                std::get_if<protocol::claim_transfer_answer>(&e.body))
            n.home->on_transfer_answer(e.from, *m, t, *n.view, out);
        if (const auto* m = std::get_if<protocol::claim_answer>(&e.body))
            on_claim_answer(i, e.from.instance, *m, out);
        send_outbox(i, out);
    }

    /// Handles the first answer to each claim, even if it is late, as the entry
    /// instance does.
    void on_claim_answer(std::size_t i, const instance_id& home,
                         const protocol::claim_answer& a, node::outbox& out)
    {
        instance& n = nodes[i];
        const auto it = n.open_claims.find(a.id);
        if (it == n.open_claims.end())
            return;
        const request_id request = it->second;
        n.open_claims.erase(it);
        last_verdict = a.verdict;
        if (a.verdict != protocol::claim_verdict::go)
            return;
        protocol::claim_result r{a.id, request, next_outcome, {}};
        if (next_outcome != request_outcome::not_run)
            ++run_counts[request.str()];
        if (report_results)
            out.push_back(node::send_message{home, r});
    }

    time_point now = time_point(1000s);
    std::array<instance, size> nodes;
    std::set<std::size_t> listed;
    std::set<std::size_t> leaving;
    std::vector<std::pair<time_point, node::instance_list>> lists;
    std::set<std::pair<std::size_t, std::size_t>> cut_links;
    bool duplicate_messages = false;
    bool report_results = true;
    request_outcome next_outcome = request_outcome::completed;
    std::map<std::string, int> run_counts;
    std::optional<protocol::claim_verdict> last_verdict;
    incarnation last_incarnation = 0;
    local_id last_claim_id = 0;
};

} // namespace lovagegate::idempotency

#endif
