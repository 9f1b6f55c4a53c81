#include "measure/cost.hpp"

#include "lovagegate/placement/pool_map.hpp"
#include "lovagegate/pool/pool_owner.hpp"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace lovagegate::measure {

namespace {

constexpr std::size_t slots = 8;
constexpr std::size_t repeats = 20000;
const target_group group{"lm"};

struct size
{
    std::size_t engines;
    std::size_t adapters;
};

constexpr size sizes[] = {{12, 3000},    {48, 3000},   {192, 6000},
                          {500, 10000},  {1000, 3000}, {1000, 6000},
                          {1000, 10000}, {1000, 13000}};

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

template <typename Action>
double nanoseconds_each(std::size_t n, Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < n; ++i)
        action(i);
    const std::chrono::duration<double, std::nano> passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count() / double(n);
}

adapter_version adapter(std::size_t i)
{
    return {"adapter-" + std::to_string(i), "1"};
}

ticket::declared_state declare(std::size_t engines)
{
    ticket::declared_state state;
    for (std::size_t i = 0; i < engines; ++i) {
        ticket::target t;
        t.group = group;
        t.domain = failure_domain("domain-" + std::to_string(i % 11));
        t.slots = slots;
        state.targets.emplace("engine-" + std::to_string(100000 + i), t);
    }
    return state;
}

/// The owner of the first pool of a deployment, with its share of adapters
/// known and its slots full.
class loaded_owner
{
public:
    loaded_owner(const ticket::declared_state& state,
                 const placement::pool_map& map, std::size_t adapters)
        : pool_(map.pools(group).front()),
          owner_(pool_, instance_id("owner"), pool::pool_settings(), counts_,
                 oracle_)
    {
        std::map<target_id, ticket::target> targets;
        for (const target_id& id : map.targets(pool_))
            targets.emplace(id, state.targets.at(id));
        owner_.set_targets(targets, now_);
        owner_.set_permit_node(instance_id("permits"), "store");
        owner_.set_ownership({true, true, now_, now_, true}, now_, out_);
        for (std::size_t i = 0; i < adapters; ++i) {
            if (map.choose(adapter(i), group, 1, 0) == pool_)
                mine_.push_back(adapter(i));
        }
        std::size_t next = 0;
        for (const auto& [id, target] : targets) {
            node::engine_report report;
            report.target = id;
            report.start = 1;
            for (std::size_t s = 0; s < slots; ++s)
                report.resident.push_back({mine_[next++ % mine_.size()], 0, 0});
            owner_.on_report(report, now_, out_);
        }
        held_ = std::min(next, mine_.size());
        for (const adapter_version& a : mine_)
            ask_and_cancel(a);
        out_.clear();
    }

    [[nodiscard]] std::size_t adapters() const { return mine_.size(); }

    void grant_and_release(std::size_t i)
    {
        ask(mine_[i % held_]);
        owner_.on_release(from_, {pool_, {{id_, {}, {}}}}, now_, out_);
        out_.clear();
    }

    void queue_and_cancel(std::size_t i)
    {
        now_ += 20ms;
        ask_and_cancel(mine_[held_ + i % (mine_.size() - held_)]);
        out_.clear();
    }

    void tick()
    {
        now_ += 50ms;
        owner_.tick(now_, out_);
        out_.clear();
    }

    [[nodiscard]] bool full() const { return mine_.size() > held_; }

private:
    void ask(const adapter_version& a)
    {
        protocol::lease_request r;
        r.id = ++id_;
        r.pool = pool_;
        r.adapter = a;
        r.deadline = 600s;
        owner_.on_lease_request(from_, r, now_, out_);
    }

    void ask_and_cancel(const adapter_version& a)
    {
        ask(a);
        owner_.on_cancel(from_, {id_, pool_}, now_, out_);
    }

    pool_id pool_;
    counters counts_;
    pool::no_crashes oracle_;
    pool::pool_owner owner_;
    const protocol::sender from_{instance_id("entry"), 1};
    std::vector<adapter_version> mine_;
    std::size_t held_ = 0;
    time_point now_{100s};
    node::outbox out_;
    local_id id_ = 0;
};

nlohmann::ordered_json measure_size(const size& s)
{
    const auto state = declare(s.engines);
    const std::size_t before_map = heap_bytes();
    const placement::pool_map map(state, placement::default_pool_size);
    const std::size_t map_bytes = heap_bytes() - before_map;

    const std::size_t before_owner = heap_bytes();
    auto owner = std::make_unique<loaded_owner>(state, map, s.adapters);
    const std::size_t owner_bytes = heap_bytes() - before_owner;

    std::uint64_t sum = 0;
    const adapter_version one = adapter(7);
    nlohmann::ordered_json j;
    j["engines"] = s.engines;
    j["adapters"] = s.adapters;
    j["pools"] = map.pools(group).size();
    j["adapters_of_pool"] = owner->adapters();
    j["choose_pool_ns"] = nanoseconds_each(repeats, [&](std::size_t i) {
        sum += map.choose(one, group, 1, i).str().size();
    });
    j["grant_and_release_ns"] = nanoseconds_each(
        repeats, [&](std::size_t i) { owner->grant_and_release(i); });
    if (owner->full())
        j["queue_and_cancel_ns"] = nanoseconds_each(
            repeats, [&](std::size_t i) { owner->queue_and_cancel(i); });
    j["tick_ns"] =
        nanoseconds_each(repeats, [&](std::size_t) { owner->tick(); });
    j["map_bytes_per_engine"] = map_bytes / s.engines;
    j["owner_bytes"] = owner_bytes;
    j["owner_bytes_per_adapter"] = owner_bytes / owner->adapters();
    j["checksum"] = sum % 10;
    return j;
}

} // namespace

void print_costs(std::ostream& out)
{
    for (const size& s : sizes)
        out << measure_size(s) << std::endl;
}

} // namespace lovagegate::measure
