#ifndef LOVAGEGATE_POOL_LOAD_BACKOFF_HPP
#define LOVAGEGATE_POOL_LOAD_BACKOFF_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/pool/pool_settings.hpp"

#include <cstdint>
#include <unordered_map>

namespace lovagegate::pool {

/// Delays the next load of adapters whose loads failed: exponential backoff
/// with jitter, so that adapters that failed together are not retried together.
class load_backoff
{
public:
    /// @return number of failures in a row
    std::uint32_t on_failure(adapter_key adapter, std::uint64_t jitter_seed,
                             time_point now, const load_settings& settings);
    void on_success(adapter_key adapter) { failures_.erase(adapter); }

    /// @return whether a load may be tried
    [[nodiscard]] bool ready(adapter_key adapter, time_point now) const;
    /// @return time until a load may be tried
    [[nodiscard]] duration wait(adapter_key adapter, time_point now) const;

private:
    struct record
    {
        std::uint32_t failures = 0;
        time_point next{};
    };

    std::unordered_map<adapter_key, record> failures_;
};

} // namespace lovagegate::pool

#endif
