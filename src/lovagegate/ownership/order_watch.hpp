#ifndef LOVAGEGATE_OWNERSHIP_ORDER_WATCH_HPP
#define LOVAGEGATE_OWNERSHIP_ORDER_WATCH_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::ownership {

/// Notices orders of other instances by the number of orders that engines
/// report to have accepted.
class order_watch
{
public:
    /// Called when a report of an engine arrived.
    /// @param run start of the engine
    /// @param sequence number of orders that it has accepted since then
    /// @return whether it has accepted orders of other instances since the last
    ///         report
    bool on_report(std::string_view engine, std::int64_t run,
                   std::uint64_t sequence, time_point now);

    /// Called when this instance sends an order.
    void on_order_sent(std::string_view engine, time_point now);

    /// Called when an order of this instance was certainly not accepted.
    void on_order_failed(std::string_view engine);

    /// @return latest time at which another instance may have sent an order, as
    ///         reports tell; nothing if there was no report
    [[nodiscard]] std::optional<time_point>
    last_foreign_order(std::string_view engine) const;

private:
    struct watched
    {
        std::int64_t run = 0;
        std::uint64_t sequence = 0;
        /// Orders of this instance that reports may not show yet.
        std::uint64_t own_orders = 0;
        time_point last_own_order{};
        std::optional<time_point> last_foreign_order;
    };

    std::map<std::string, watched, std::less<>> engines_;
};

} // namespace lovagegate::ownership

#endif
