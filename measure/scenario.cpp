#include "measure/scenario.hpp"

#include <algorithm>

namespace lovagegate::measure {

namespace {

deployment jadran()
{
    deployment d;
    d.name = "jadran";
    d.store = {4.0, 2, 16};
    d.mix = {priority_mix{0.5, 10s, 64.0}, priority_mix{0.3, 20s, 32.0},
             priority_mix{0.2, 900s, 96.0}};
    d.pool.queue.batch_hold = 30s;
    return d;
}

deployment kerala()
{
    deployment d;
    d.name = "kerala";
    d.engines = 9;
    d.domains = 4;
    d.rate = 4.0;
    d.link = 1500us;
    d.store = {3.0, 1, 8};
    d.mix = {priority_mix{0.35, 10s, 64.0}, priority_mix{0.15, 20s, 32.0},
             priority_mix{0.5, 3600s, 256.0}};
    d.pool.queue.batch_hold = 240s;
    d.pool.load.packing = 2.0;
    d.pool.load.min_running_to_join = 2;
    return d;
}

deployment plan()
{
    deployment d;
    d.name = "plan";
    d.engines = 1000;
    d.domains = 11;
    d.slots = 8;
    d.adapters = 13000;
    d.gateways = 380;
    d.zipf = 1.1;
    d.rate = 1100.0;
    d.link = 1ms;
    d.store = {100.0, 50, 400};
    d.speed.max_batch = 32;
    d.mix = {priority_mix{0.5, 10s, 227.0}, priority_mix{0.3, 20s, 227.0},
             priority_mix{0.2, 900s, 227.0}};
    d.warm_up = 120s;
    d.length = 180s;
    return d;
}

std::vector<scenario> scenarios()
{
    std::vector<scenario> all(10);
    all[1].name = "shift";
    all[1].shift = true;
    all[2].name = "shift-hourly";
    all[2].hourly_shift = 0.23;
    all[3].name = "restart";
    all[3].restart = true;
    all[4].name = "load-failures";
    all[4].load_failures = 1.0 / 3.0;
    all[5].name = "slow-store";
    all[5].slow_store = 8.0;
    all[6].name = "late-reports";
    all[6].report_age = 5s;
    all[7].name = "domain-lost";
    all[7].domain_lost = true;
    all[8].name = "overload";
    all[8].overload = 3.0;
    all[9].name = "message-loss";
    all[9].message_loss = 0.05;
    return all;
}

} // namespace

deployment find_deployment(const std::string& name)
{
    if (name == "jadran")
        return jadran();
    if (name == "kerala")
        return kerala();
    if (name == "plan")
        return plan();
    throw usage_error("unknown deployment: " + name);
}

scenario find_scenario(const std::string& name)
{
    const auto all = scenarios();
    const auto it = std::ranges::find(all, name, &scenario::name);
    if (it == all.end())
        throw usage_error("unknown scenario: " + name);
    return *it;
}

std::vector<std::string> scenario_names()
{
    std::vector<std::string> names;
    for (const scenario& s : scenarios())
        names.push_back(s.name);
    return names;
}

} // namespace lovagegate::measure
