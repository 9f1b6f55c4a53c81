#ifndef LOVAGEGATE_PLACEMENT_RENDEZVOUS_HPP
#define LOVAGEGATE_PLACEMENT_RENDEZVOUS_HPP

#include "lovagegate/core/identifiers.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

/// Rendezvous hashing (Thaler and Ravishankar, 1998): every instance computes
/// the same members for a key, and removing a member moves only the keys of
/// that member.
namespace lovagegate::placement {

/// @param key the key to be placed
/// @param member a candidate
/// @return the weight of the pair; the candidate with the highest weight is
/// chosen
[[nodiscard]] std::uint64_t weight(std::string_view key,
                                   std::string_view member) noexcept;

namespace internal {

template <typename T>
using weighted = std::pair<std::uint64_t, const T*>;

/// Orders by descending weight; the name decides between equal weights.
template <typename T>
bool precedes(const weighted<T>& a, const weighted<T>& b)
{
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
}

template <typename T>
std::vector<weighted<T>> weigh_all(std::string_view key, std::span<const T> all)
{
    std::vector<weighted<T>> out;
    out.reserve(all.size());
    for (const T& member : all)
        out.emplace_back(weight(key, member.str()), &member);
    return out;
}

} // namespace internal

/// @param key the key to be placed
/// @param all the candidates, in any order
/// @param n number of candidates to return
/// @return the n candidates with the highest weights, in descending order
template <typename T>
[[nodiscard]] std::vector<T> top(std::string_view key, std::span<const T> all,
                                 std::size_t n)
{
    auto weights = internal::weigh_all(key, all);
    n = std::min(n, weights.size());
    std::partial_sort(weights.begin(),
                      weights.begin() + static_cast<std::ptrdiff_t>(n),
                      weights.end(), internal::precedes<T>);
    std::vector<T> out;
    out.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(*weights[i].second);
    return out;
}

/// @return all candidates in descending order of weight
template <typename T>
[[nodiscard]] std::vector<T> rank(std::string_view key, std::span<const T> all)
{
    return top(key, all, all.size());
}

/// @return the candidate with the highest weight; nullptr if there is none
template <typename T>
[[nodiscard]] const T* first(std::string_view key, std::span<const T> all)
{
    internal::weighted<T> best{0, nullptr};
    for (const T& member : all) {
        const internal::weighted<T> w{weight(key, member.str()), &member};
        if (best.second == nullptr || internal::precedes(w, best))
            best = w;
    }
    return best.second;
}

} // namespace lovagegate::placement

#endif
