#ifndef LOVAGEGATE_GATEWAY_RELEASES_HPP
#define LOVAGEGATE_GATEWAY_RELEASES_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

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

    struct known_release
    {
        adapter_release release;
        time_point since{};
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
