#include "measure/bound.hpp"

#include <set>
#include <unordered_map>
#include <utility>

namespace lovagegate::measure {

std::vector<bool> clairvoyant_misses(std::span<const request> requests,
                                     std::size_t slots)
{
    const std::size_t n = requests.size();
    std::vector<std::size_t> next_use(n);
    std::unordered_map<std::uint32_t, std::size_t> seen;
    for (std::size_t i = n; i > 0; --i) {
        const auto it = seen.find(requests[i - 1].adapter);
        // Adapters that are not used again differ, so that the set is exact.
        next_use[i - 1] = it == seen.end() ? n + i : it->second;
        seen[requests[i - 1].adapter] = i - 1;
    }
    std::vector<bool> misses(n);
    std::set<std::pair<std::size_t, std::uint32_t>> held;
    for (std::size_t i = 0; i < n; ++i) {
        const std::uint32_t adapter = requests[i].adapter;
        // What is held and used now has its next use at this request.
        misses[i] = held.erase({i, adapter}) == 0;
        held.emplace(next_use[i], adapter);
        if (held.size() > slots)
            held.erase(std::prev(held.end()));
    }
    return misses;
}

} // namespace lovagegate::measure
