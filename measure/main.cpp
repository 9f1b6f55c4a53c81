#include "measure/baseline_policy.hpp"
#include "measure/bound.hpp"
#include "measure/cost.hpp"
#include "measure/overrides.hpp"
#include "measure/owner_policy.hpp"
#include "measure/report.hpp"
#include "measure/scenario.hpp"
#include "measure/site.hpp"
#include "measure/workload.hpp"

#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace lovagegate;
using namespace lovagegate::measure;

constexpr const char* usage = R"(Measures the policy on a virtual clock.

Usage:
  lovagegate-measure [--deployment=NAME] [--scenario=NAME] [--policy=NAME]...
                     [--seed=N] [--zipf=S] [--rate=R] [--slots=N]
                     [--pool-size=N] [--duration=SECONDS] [--warm-up=SECONDS]
                     [--set=NAME=VALUE]... [--timeline] [--counters]
  lovagegate-measure cost
  lovagegate-measure (-h | --help)

The command cost prints what a decision costs on this machine, by sizes.

Options:
  --deployment=NAME   jadran, kerala or plan [default: jadran]
  --scenario=NAME     a scenario, or all [default: steady]
  --policy=NAME       random, least-outstanding, rendezvous-lru, ours,
                      ours-no-grouping, ours-no-shift-detection
                      (repeatable; without it the first four)
  --seed=N            seed of the request sequence [default: 1]
  --zipf=S            exponent of the popularity
  --rate=R            requests a second
  --slots=N           adapters that an engine holds
  --pool-size=N       most engines in one pool
  --duration=SECONDS  measured time
  --warm-up=SECONDS   time before it
  --set=NAME=VALUE    change a setting of the policy (repeatable), such as
                      batch_hold (seconds) or half_life_per_slot
  --timeline          print the stall share of each ten seconds as well
  --counters          print the owner's counters to the standard error
)";

using options = std::map<std::string, docopt::value>;

duration to_duration(const std::string& seconds)
{
    return duration(static_cast<duration::rep>(std::stod(seconds) * 1e6));
}

deployment chosen_deployment(const options& o)
{
    deployment d = find_deployment(o.at("--deployment").asString());
    if (o.at("--zipf"))
        d.zipf = std::stod(o.at("--zipf").asString());
    if (o.at("--rate"))
        d.rate = std::stod(o.at("--rate").asString());
    if (o.at("--slots"))
        d.slots = std::stoul(o.at("--slots").asString());
    if (o.at("--pool-size"))
        d.pool_size = std::stoul(o.at("--pool-size").asString());
    if (o.at("--duration"))
        d.length = to_duration(o.at("--duration").asString());
    if (o.at("--warm-up"))
        d.warm_up = to_duration(o.at("--warm-up").asString());
    for (const std::string& each : o.at("--set").asStringList())
        override_setting(d, each);
    return d;
}

run_results run_baseline(site& s, baseline kind, std::uint64_t seed)
{
    baseline_policy policy(s, kind, seed);
    return policy.run();
}

run_results run_policy(const std::string& name, deployment d, const scenario& s,
                       std::span<const request> requests, std::uint64_t seed,
                       bool print_counters)
{
    if (name == "ours-no-grouping")
        d.pool.queue.min_batch_group = 1;
    if (name == "ours-no-shift-detection")
        d.pool.demand.shift_threshold = 1e9;
    site place(d, s, requests, seed);
    if (name == "random")
        return run_baseline(place, baseline::random, seed);
    if (name == "least-outstanding")
        return run_baseline(place, baseline::least_outstanding, seed);
    if (name == "rendezvous-lru")
        return run_baseline(place, baseline::rendezvous, seed);
    if (name.rfind("ours", 0) != 0)
        throw usage_error("unknown policy: " + name);
    owner_policy policy(place, seed);
    run_results results = policy.run();
    if (print_counters) {
        for (const auto& [counter, count] : policy.counts().all())
            std::cerr << counter << ' ' << count << '\n';
    }
    return results;
}

void measure_scenario(const options& o, const scenario& s)
{
    const deployment d = chosen_deployment(o);
    const auto seed = static_cast<std::uint64_t>(o.at("--seed").asLong());
    const auto requests = make_workload(d, s, seed);
    const auto bound = clairvoyant_misses(requests, d.engines * d.slots);
    auto policies = o.at("--policy").asStringList();
    if (policies.empty())
        policies = {"random", "least-outstanding", "rendezvous-lru", "ours"};
    for (const std::string& policy : policies) {
        const run_results results = run_policy(policy, d, s, requests, seed,
                                               o.at("--counters").asBool());
        const report_head head{policy, seed};
        std::cout << make_report(head, d, s, requests, results, bound)
                  << std::endl;
        if (!o.at("--timeline").asBool())
            continue;
        for (const auto& line :
             make_timeline(head, d, s, requests, results, bound))
            std::cout << line << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    const options o = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    try {
        if (o.at("cost").asBool()) {
            print_costs(std::cout);
            return 0;
        }
        const std::string name = o.at("--scenario").asString();
        if (name != "all") {
            measure_scenario(o, find_scenario(name));
            return 0;
        }
        for (const std::string& each : scenario_names())
            measure_scenario(o, find_scenario(each));
    } catch (const std::exception& e) {
        std::cerr << "lovagegate-measure: " << e.what() << '\n';
        return 2;
    }
    return 0;
}
