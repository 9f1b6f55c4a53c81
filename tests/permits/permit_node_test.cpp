#include "lovagegate/permits/permit_node.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <variant>

using namespace lovagegate;
using permits::permit_node;
using permits::permit_settings;

namespace {

const pool_id pool{"lm#0"};

/// A permit node with one pool that always requests loads.
struct greedy_pool
{
    counters counts;
    permit_node node;
    protocol::sender from;
    local_id next = 1;

    greedy_pool(const std::string& name, std::size_t listed, std::size_t heard)
        : node("store", instance_id(name), permit_settings(), counts),
          from{instance_id("owner-" + name), 1}
    {
        node.set_store({4.0, 2, 16});
        node.set_members(listed, heard, time_point{});
        node.set_role(true, time_point{});
    }

    std::size_t request_and_return(time_point now)
    {
        protocol::permit_request request;
        request.store = "store";
        request.pool = pool;
        for (int i = 0; i < 8; ++i) {
            protocol::wanted_load w;
            w.id = next++;
            w.waiting = 1;
            request.wants.push_back(w);
        }
        node::outbox out;
        node.on_permit_request(from, request, now, out);
        std::size_t granted = 0;
        for (const node::output& o : out) {
            const auto& message = std::get<node::send_message>(o);
            const auto& grant = std::get<protocol::permit_grant>(message.body);
            granted += grant.wants.size();
            node::outbox ignored;
            node.on_permit_return(from, {"store", pool, grant.wants}, now,
                                  ignored);
        }
        return granted;
    }
};

/// Finds the highest number of events in any interval of ten seconds.
class ten_second_window
{
public:
    void add(time_point now, std::size_t events)
    {
        times_.insert(times_.end(), events, now);
        while (!times_.empty() && now - times_.front() >= 10s)
            times_.pop_front();
        max_events_ = std::max(max_events_, times_.size());
    }
    [[nodiscard]] std::size_t max_events() const { return max_events_; }

private:
    std::deque<time_point> times_;
    std::size_t max_events_ = 0;
};

} // namespace

TEST_CASE("permits of any ten seconds keep within the store's rate",
          "[permits]")
{
    greedy_pool p("a", 9, 9);
    ten_second_window window;
    std::size_t sum = 0;
    for (time_point now{}; now < time_point{120s}; now += 20ms) {
        // Pauses fill the bucket: the worst case is a burst after a pause.
        const bool pause = (now.time_since_epoch() / 1s) % 30 < 5;
        const std::size_t n = pause ? 0 : p.request_and_return(now);
        sum += n;
        window.add(now, n);
    }
    CHECK(window.max_events() <= 40);
    CHECK(sum >= 320);
}

TEST_CASE("two sides of a partition together keep within the store's rate",
          "[permits]")
{
    greedy_pool a("a", 9, 5);
    greedy_pool b("b", 9, 4);
    ten_second_window window;
    std::size_t sum = 0;
    for (time_point now{}; now < time_point{120s}; now += 20ms) {
        const std::size_t n =
            a.request_and_return(now) + b.request_and_return(now);
        sum += n;
        window.add(now, n);
    }
    CHECK(window.max_events() <= 40);
    CHECK(sum >= 300);
}

TEST_CASE("a new permit node waits for its predecessor's loads", "[permits]")
{
    greedy_pool p("a", 9, 9);
    CHECK(p.request_and_return(time_point{9s}) == 0);
    CHECK(p.request_and_return(time_point{11s}) > 0);
}

TEST_CASE("permits that are not returned bound the loads in transit",
          "[permits]")
{
    counters counts;
    permit_node node("store", instance_id("a"), permit_settings(), counts);
    node.set_store({100.0, 50, 3});
    node.set_role(true, time_point{});
    protocol::permit_request request{"store", pool, {}, 0};
    for (local_id id = 1; id <= 8; ++id) {
        protocol::wanted_load w;
        w.id = id;
        w.waiting = 1;
        w.value = double(id);
        request.wants.push_back(w);
    }
    node::outbox out;
    node.on_permit_request({instance_id("o"), 1}, request, time_point{20s},
                           out);
    REQUIRE(out.size() == 1);
    const auto grant = std::get<protocol::permit_grant>(
        std::get<node::send_message>(out[0]).body);
    // The wants with the highest value are granted first.
    CHECK(grant.wants == std::vector<local_id>{8, 7, 6});
    CHECK(node.outstanding() == 3);
}

TEST_CASE("the want that waits longest is granted in the end", "[permits]")
{
    counters counts;
    permit_node node("store", instance_id("a"), permit_settings(), counts);
    node.set_store({4.0, 2, 16});
    node.set_role(true, time_point{});
    const protocol::sender from{instance_id("o"), 1};
    bool served = false;
    local_id next = 2;
    for (time_point now{10s}; now < time_point{20s} && !served; now += 50ms) {
        protocol::permit_request request{"store", pool, {}, 0};
        protocol::wanted_load low;
        low.id = 1;
        low.waiting = 1;
        request.wants.push_back(low);
        for (int i = 0; i < 4; ++i) {
            protocol::wanted_load high = low;
            high.id = next++;
            high.value = 100.0;
            request.wants.push_back(high);
        }
        node::outbox out;
        node.on_permit_request(from, request, now, out);
        for (const node::output& o : out) {
            const auto grant = std::get<protocol::permit_grant>(
                std::get<node::send_message>(o).body);
            for (const local_id id : grant.wants)
                served = served || id == 1;
            node::outbox ignored;
            node.on_permit_return(from, {"store", pool, grant.wants}, now,
                                  ignored);
        }
    }
    CHECK(served);
}
