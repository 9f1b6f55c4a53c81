#include "measure/overrides.hpp"

#include <functional>
#include <map>
#include <stdexcept>

namespace lovagegate::measure {

namespace {

using setter = std::function<void(deployment&, double)>;

duration seconds(double s)
{
    return duration(static_cast<duration::rep>(s * 1e6));
}

const std::map<std::string, setter>& setters()
{
    static const std::map<std::string, setter> all{
        {"half_life_per_slot",
         [](auto& d, double v) { d.pool.demand.half_life_per_slot = v; }},
        {"shift_keep",
         [](auto& d, double v) { d.pool.demand.shift_retained_share = v; }},
        {"shift_ratio",
         [](auto& d, double v) { d.pool.demand.shift_ratio = v; }},
        {"shift_evidence",
         [](auto& d, double v) { d.pool.demand.shift_threshold = v; }},
        {"interactive_weight",
         [](auto& d, double v) { d.pool.demand.weight[0] = v; }},
        {"batch_weight",
         [](auto& d, double v) { d.pool.demand.weight[2] = v; }},
        {"batch_group",
         [](auto& d, double v) {
             d.pool.queue.min_batch_group = static_cast<std::size_t>(v);
         }},
        {"batch_hold",
         [](auto& d, double v) { d.pool.queue.batch_hold = seconds(v); }},
        {"packing", [](auto& d, double v) { d.pool.load.packing = v; }},
        {"join_at",
         [](auto& d, double v) {
             d.pool.load.min_running_to_join = static_cast<std::size_t>(v);
         }},
        {"copy_at", [](auto& d, double v) { d.pool.load.copy_threshold = v; }},
        {"prefetch_gain",
         [](auto& d, double v) { d.pool.load.prefetch_gain = v; }},
    };
    return all;
}

} // namespace

void override_setting(deployment& d, const std::string& assignment)
{
    const auto equals = assignment.find('=');
    const auto it = setters().find(assignment.substr(0, equals));
    if (equals == std::string::npos || it == setters().end())
        throw usage_error("unknown setting: " + assignment);
    try {
        it->second(d, std::stod(assignment.substr(equals + 1)));
    } catch (const std::logic_error&) {
        throw usage_error("not a number: " + assignment);
    }
}

} // namespace lovagegate::measure
