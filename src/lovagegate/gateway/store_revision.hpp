#ifndef LOVAGEGATE_GATEWAY_STORE_REVISION_HPP
#define LOVAGEGATE_GATEWAY_STORE_REVISION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace lovagegate::gateway {

/// Point in the history of the platform's store. A store that is restored from
/// a copy gives out its numbers again, in a later era.
struct store_revision
{
    std::uint64_t era = 0; ///< 0 if the store doesn't tell eras
    std::uint64_t number = 0;

    constexpr store_revision() noexcept = default;
    /// @param n number of a change
    /// @param e era in which the store gave it out
    constexpr store_revision(std::uint64_t n, std::uint64_t e = 0) noexcept
        : era(e), number(n)
    {
    }

    friend constexpr auto operator<=>(const store_revision&,
                                      const store_revision&) = default;
};

/// @param r revision that an instance has sent
/// @param known revision that this instance knows
/// @return the revision, in the known era if the sender is of an earlier
/// version,
///         which doesn't tell eras
[[nodiscard]] constexpr store_revision in_era(store_revision r,
                                              store_revision known) noexcept
{
    return r.era == 0 ? store_revision(r.number, known.era) : r;
}

/// @return ERA.NUMBER, or the number alone if there is no era
[[nodiscard]] inline std::string to_string(const store_revision& r)
{
    const std::string number = std::to_string(r.number);
    return r.era == 0 ? number : std::to_string(r.era) + '.' + number;
}

} // namespace lovagegate::gateway

#endif
