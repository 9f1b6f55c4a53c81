#ifndef LOVAGEGATE_STANDINS_STORE_WEIGHT_STORE_HPP
#define LOVAGEGATE_STANDINS_STORE_WEIGHT_STORE_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_server.hpp"
#include "standins/common/process.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace lovagegate::standins {

struct weight_store_options
{
    process_options process;
    /// Loads that may start each second; others wait.
    double loads_per_second = 4;
    /// Loads that may start at once after a pause.
    double at_full_speed = 2;
    /// Loads in transit up to which each takes load_time.
    std::size_t in_transit = 16;
    duration load_time = 250ms;
};

/// Stand-in for the rate-limited weight store: GET /weights/NAME.
class weight_store
{
public:
    explicit weight_store(const weight_store_options& options);

    /// Serves until the process is told to end.
    void run();

private:
    void on_request(const net::exchange_ptr& e);
    void start_waiting();
    void start(const net::exchange_ptr& e);
    void count_start(time_point now);

    weight_store_options options_;
    net::event_loop loop_;
    std::deque<net::exchange_ptr> waiting_;
    std::deque<time_point> recent_; ///< requests of the last 10 s
    double tokens_;                 ///< loads that may start now
    time_point refilled_{};
    std::size_t in_transit_ = 0;
    std::uint64_t loads_ = 0;
    std::uint64_t fail_next_ = 0;
    std::uint64_t waited_ = 0; ///< loads asked for faster than the rate
    std::size_t most_in_10_s_ = 0;
    std::size_t most_in_transit_ = 0;
    bool timer_set_ = false;
    net::http_server server_;
};

} // namespace lovagegate::standins

#endif
