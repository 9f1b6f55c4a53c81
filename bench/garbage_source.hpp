#ifndef LOVAGEGATE_BENCH_GARBAGE_SOURCE_HPP
#define LOVAGEGATE_BENCH_GARBAGE_SOURCE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <thread>

namespace lovagegate::bench {

struct garbage_options
{
    settings::endpoint target;
    std::size_t connects = 10'000;
    std::size_t open_at_once = 200;
    duration connect_interval = 500us; ///< between two connects
};

/// Connects on a thread of its own; each connection sends nonsense or half a
/// request and is closed when open_at_once others have followed it.
class garbage_source
{
public:
    explicit garbage_source(garbage_options options);

    /// Waits until all connects were made.
    void join();

    /// @return connects that succeeded; valid after join()
    [[nodiscard]] std::size_t connected() const noexcept { return connected_; }

private:
    void run();

    garbage_options options_;
    std::size_t connected_ = 0;
    std::jthread thread_;
};

} // namespace lovagegate::bench

#endif
