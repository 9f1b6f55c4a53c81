#ifndef LOVAGEGATE_GATEWAY_ADAPTER_USERS_HPP
#define LOVAGEGATE_GATEWAY_ADAPTER_USERS_HPP

#include "lovagegate/core/time.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Interval at which instances repeat which adapters of an engine they use.
/// Changes are reported at once.
constexpr duration usage_report_interval = 300ms;

/// Which instances have open requests on the adapters of one engine, as these
/// instances report it.
class adapter_users
{
public:
    /// Replaces the adapters that an instance uses.
    /// @param instance address of the instance, empty for this one
    /// @param adapters MODEL/NAME of all adapters with open requests
    /// @return whether an adapter was listed before and isn't now
    bool on_usage(std::string_view instance,
                  std::span<const std::string> adapters, time_point now);

    /// @return whether an instance has recently reported open requests on the
    ///         adapter
    [[nodiscard]] bool is_used(std::string_view adapter, time_point now) const;

private:
    using last_reports = std::map<std::string, time_point, std::less<>>;

    /// By adapter, then by instance.
    std::map<std::string, last_reports, std::less<>> users_;
    std::map<std::string, std::vector<std::string>, std::less<>> listed_;
};

} // namespace lovagegate::gateway

#endif
