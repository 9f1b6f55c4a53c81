#ifndef LOVAGEGATE_QUOTA_FLEET_SIZE_HPP
#define LOVAGEGATE_QUOTA_FLEET_SIZE_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::quota {

/// Counts the instances between which a limit has to be divided when they may
/// be unable to reach each other.
class fleet_size
{
public:
    /// @param seeds number of other instances named in the settings
    explicit fleet_size(std::size_t seeds) : seeds_(seeds) {}

    /// @param alive addresses of the live instances, this one included
    /// @param leaving addresses of instances that have said that they leave;
    ///        these no longer count, unlike silent ones
    void update(std::span<const std::string> alive,
                std::span<const std::string> leaving, time_point now);

    /// @return largest number of instances in the last minute. Until this
    ///         instance has heard of another one, at least the seeds and itself
    [[nodiscard]] std::size_t largest() const;

    /// @return whether other instances are known, if the settings name any
    [[nodiscard]] bool is_known() const noexcept
    {
        return knows_others_ || seeds_ == 0;
    }

private:
    struct second
    {
        std::int64_t number = 0;
        std::size_t instances = 0;
    };

    std::size_t seeds_;
    bool knows_others_ = false;
    std::vector<std::string> alive_; ///< in the last update
    std::deque<second> last_minute_;
};

} // namespace lovagegate::quota

#endif
