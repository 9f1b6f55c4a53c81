#ifndef LOVAGEGATE_BENCH_GARBAGE_SOURCE_HPP
#define LOVAGEGATE_BENCH_GARBAGE_SOURCE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <thread>

namespace lovagegate::bench {

/// Number and rate of malformed connections.
struct garbage_options
{
    settings::endpoint target;
    std::size_t connects = 10'000;
    std::size_t open_at_once = 200;
    duration connect_interval = 500us; ///< pause after each connect
};

/// Opens connections on a separate thread. Each connection sends a malformed or
/// incomplete request and is closed after open_at_once newer ones were opened.
class garbage_source
{
public:
    explicit garbage_source(garbage_options options);

    /// Waits until all connects have been attempted.
    void join();

    /// @return number of successful connects; valid only after join()
    [[nodiscard]] std::size_t connected() const noexcept { return connected_; }

private:
    void run();

    garbage_options options_;
    std::size_t connected_ = 0;
    std::jthread thread_;
};

} // namespace lovagegate::bench

#endif
