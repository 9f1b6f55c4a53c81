#ifndef LOVAGEGATE_MEASURE_WORKLOAD_HPP
#define LOVAGEGATE_MEASURE_WORKLOAD_HPP

#include "measure/scenario.hpp"

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace lovagegate::measure {

/// Numbers that are the same on every machine: the distributions of the
/// standard library are not.
class generator
{
public:
    explicit generator(std::uint64_t seed) : engine_(seed) {}

    /// @return uniform in [0, 1)
    double uniform();
    /// @return exponential with the mean
    double exponential(double mean);
    /// @return uniform in [0, n)
    std::size_t below(std::size_t n);

private:
    std::mt19937_64 engine_;
};

/// One request of the sequence that every policy gets.
struct request
{
    time_point arrival{};
    std::size_t gateway = 0;
    std::uint32_t adapter = 0;
    priority importance = priority::normal;
    std::uint32_t tokens = 1;
    time_point deadline{}; ///< for the first token
};

/// Poisson arrivals over Zipf popularity, with the scenario's changes.
[[nodiscard]] std::vector<request>
make_workload(const deployment& d, const scenario& s, std::uint64_t seed);

} // namespace lovagegate::measure

#endif
