#ifndef LOVAGEGATE_POOL_DEMAND_ESTIMATOR_HPP
#define LOVAGEGATE_POOL_DEMAND_ESTIMATOR_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/pool/pool_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagegate::pool {

/// Estimates how often each adapter will be requested. Counts decay
/// exponentially with the number of the pool's requests rather than with time,
/// so that they do not decay while the pool is idle. A drop in the share of
/// requests whose adapter is resident indicates a popularity shift; the old
/// counts are then reduced.
class demand_estimator
{
public:
    /// @param settings decay and shift detection
    explicit demand_estimator(demand_settings settings);

    /// @param slots number of adapter slots in the pool; sets the half-life
    void set_slots(std::size_t slots);

    /// Counts one request.
    /// @param adapter the requested adapter
    /// @param importance priority class, which sets the weight of the request
    /// @param hit whether the adapter was resident
    /// @return whether a popularity shift was detected
    bool on_request(adapter_key adapter, priority importance, bool hit);

    /// Called when an engine lost its adapters: the misses that follow do not
    /// indicate a shift.
    void on_residency_lost() noexcept;

    /// @return the decayed count of the adapter, in weighted requests
    [[nodiscard]] double demand(adapter_key adapter) const;

    /// @param adapter the adapter
    /// @param requests number of the pool's next requests
    /// @return expected weighted requests for the adapter among them
    [[nodiscard]] double expected(adapter_key adapter, double requests) const;

    /// @return requests counted so far
    [[nodiscard]] std::uint64_t requests() const noexcept { return requests_; }

private:
    struct record
    {
        double count = 0.0;
        std::uint64_t counted_at = 0;
        std::uint32_t shifts = 0;
    };

    [[nodiscard]] double decayed_count(const record& r) const;
    bool detect_shift(bool hit);

    demand_settings settings_;
    double half_life_ = 1000.0;
    std::uint64_t requests_ = 0;
    std::uint32_t shifts_ = 0;
    double hit_share_ = 0.0; ///< exponential average over many requests
    double cusum_ = 0.0;     ///< cumulative log likelihood ratio for a shift
    std::uint64_t detection_paused_until_ =
        0; ///< request number at which detection resumes
    std::vector<record> records_;
};

} // namespace lovagegate::pool

#endif
