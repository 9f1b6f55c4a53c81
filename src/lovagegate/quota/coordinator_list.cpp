#include "lovagegate/quota/coordinator_list.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::quota {

namespace {

constexpr std::size_t instances_per_coordinator = 48;

} // namespace

coordinator_list::coordinator_list(std::span<const std::string> alive)
{
    std::vector<std::pair<std::uint64_t, const std::string*>> weights;
    weights.reserve(alive.size());
    const workspace_id any = id_of("coordinators of limits");
    for (const std::string& address : alive)
        weights.emplace_back(stable_hash(address, any), &address);
    const std::size_t count = (alive.size() + instances_per_coordinator - 1) /
                              instances_per_coordinator;
    std::ranges::sort(weights, std::greater<>(),
                      [](const auto& w) { return w.first; });
    for (std::size_t i = 0; i < count; ++i)
        all_.push_back(*weights[i].second);
    std::uint64_t hash = 0;
    for (const std::string& address : all_)
        hash = combine_hash(hash, stable_hash(address));
    digest_ = static_cast<std::uint32_t>(hash);
}

const std::string& coordinator_list::coordinator_of(workspace_id id) const
{
    return *std::ranges::max_element(
        all_, {}, [id](const std::string& a) { return stable_hash(a, id); });
}

} // namespace lovagegate::quota
