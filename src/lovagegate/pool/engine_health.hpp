#ifndef LOVAGEGATE_POOL_ENGINE_HEALTH_HPP
#define LOVAGEGATE_POOL_ENGINE_HEALTH_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/pool_settings.hpp"

#include <cstddef>
#include <cstdint>

namespace lovagegate::pool {

enum class health_state : std::uint8_t
{
    good,
    ejected, ///< gets no leases until the ejection ends
    probing, ///< gets one lease at a time until one succeeds
};

/// Slow start and outlier ejection of one engine.
class engine_health
{
public:
    /// Called when the engine restarted: starts a slow start.
    void restarted(time_point now) noexcept { restarted_at_ = now; }

    /// @param ok whether the request was answered
    /// @param first_token time to the first token; 0: unknown
    void on_end(bool ok, duration first_token);

    /// Ejects the engine for a time that doubles with each ejection.
    void eject(time_point now, const health_settings& settings);
    /// Ends an ejection whose time has passed.
    void tick(time_point now);

    [[nodiscard]] health_state state() const noexcept { return state_; }
    /// @return whether the recent failures justify an ejection
    [[nodiscard]] bool failing(const health_settings& settings) const;
    /// @return average time to the first token in ms; 0: unknown
    [[nodiscard]] double first_token_ms() const noexcept
    {
        return first_token_ms_;
    }
    [[nodiscard]] bool measured() const noexcept { return samples_ >= 16; }

    /// @param max_running the engine's declared limit
    /// @return maximum number of open leases now
    [[nodiscard]] std::size_t limit(std::size_t max_running, time_point now,
                                    const health_settings& settings) const;

private:
    health_state state_ = health_state::good;
    time_point restarted_at_ = time_point::min();
    time_point ejected_until_ = time_point::min();
    double failure_share_ = 0.0;
    double first_token_ms_ = 0.0;
    std::uint32_t samples_ = 0;
    std::uint32_t ejections_ = 0;
};

} // namespace lovagegate::pool

#endif
