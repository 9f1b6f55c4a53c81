#ifndef LOVAGEGATE_GATEWAY_RELEASES_HPP
#define LOVAGEGATE_GATEWAY_RELEASES_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// The newest published versions of adapters.
class release_table
{
public:
    /// @return whether the version is newer than the known one
    bool adopt(const adapter_release& release, time_point now);

    /// @param name MODEL/NAME
    /// @param settled only versions that were published long enough ago to be
    ///        loaded on all engines
    /// @return the version; 0 if none is known
    [[nodiscard]] std::uint64_t newest(std::string_view name, bool settled,
                                       time_point now) const;

    /// Engines refuse a request that names another version than they hold, so a
    /// newer one that an engine holds already is named instead of the settled.
    /// @param name MODEL/NAME
    /// @param held version that the engine is assumed to hold; 0: unknown
    /// @return the version that a request sent now must run on; 0: any
    [[nodiscard]] std::uint64_t
    required(std::string_view name, std::uint64_t held, time_point now) const;

    struct known_release
    {
        adapter_release release;
        time_point since{};
        /// Newest version that was settled when this one was published, or
        /// before, and younger ones, the oldest first. Each settles by its own
        /// time: successors must not put it off.
        struct earlier_version
        {
            std::uint64_t version = 0;
            time_point since{};
        };
        std::vector<earlier_version> earlier{};
    };

    [[nodiscard]] const std::map<std::string, known_release, std::less<>>&
    all() const noexcept
    {
        return releases_;
    }

private:
    std::map<std::string, known_release, std::less<>> releases_;
};

} // namespace lovagegate::gateway

#endif
