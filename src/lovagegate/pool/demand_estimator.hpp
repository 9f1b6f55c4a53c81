#ifndef LOVAGEGATE_POOL_DEMAND_ESTIMATOR_HPP
#define LOVAGEGATE_POOL_DEMAND_ESTIMATOR_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/pool/pool_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagegate::pool {

/// Estimates how often each adapter will be asked for: a count that halves
/// with the number of the pool's requests, so that it does not fade while the
/// pool is quiet. When the share of requests that find their adapter resident
/// falls, popularity has shifted and the old counts are cut down.
class demand_estimator
{
public:
    /// @param settings ageing and shift detection
    explicit demand_estimator(demand_settings settings);

    /// @param slots adapter slots of the pool; they set the half-life
    void set_slots(std::size_t slots);

    /// Counts one request.
    /// @param adapter what was asked for
    /// @param importance weight of the request
    /// @param hit it was resident
    /// @return whether a shift of popularity was detected
    bool on_request(adapter_key adapter, priority importance, bool hit);

    /// An engine lost its adapters: misses that follow are no shift.
    void on_residency_lost() noexcept;

    /// @return the decayed_count count of the adapter, in weighted requests
    [[nodiscard]] double demand(adapter_key adapter) const;

    /// @param adapter the adapter
    /// @param requests the pool's next requests
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
    double hit_share_ = 0.0; ///< long exponential average
    double cusum_ = 0.0;     ///< for a shift: log likelihood ratio
    std::uint64_t detection_paused_until_ =
        0; ///< no detection before this request
    std::vector<record> records_;
};

} // namespace lovagegate::pool

#endif
