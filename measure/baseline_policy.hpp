#ifndef LOVAGEGATE_MEASURE_BASELINE_POLICY_HPP
#define LOVAGEGATE_MEASURE_BASELINE_POLICY_HPP

#include "measure/site.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lovagegate::measure {

/// Chooses an engine from what a gateway can know.
enum class baseline : std::uint8_t
{
    random,
    least_outstanding, ///< lagging reports and the gateway's own requests
    rendezvous,        ///< every adapter has its engine
};

/// Gateways that do not act together: each sends where its rule says, and
/// each engine loads what it is asked for, evicting the least recently used
/// idle adapter. The store serves the engines in turn, so that it keeps its
/// rate.
class baseline_policy
{
public:
    baseline_policy(site& s, baseline kind, std::uint64_t seed);

    run_results run();

private:
    struct engine_book
    {
        std::map<std::uint32_t, std::deque<std::size_t>> pending;
        std::deque<std::uint32_t> wanted;
        std::map<std::uint32_t, time_point> last_use;
        std::size_t outstanding = 0;
    };

    void arrive(std::size_t i);
    void route(std::size_t i);
    [[nodiscard]] std::size_t choose(const request& r);
    [[nodiscard]] std::size_t choose_random();
    [[nodiscard]] std::size_t choose_least(std::size_t gateway);
    [[nodiscard]] std::size_t choose_rendezvous(std::uint32_t adapter) const;
    void on_engine(std::size_t engine, std::size_t i);
    void start(std::size_t engine, std::size_t i);
    void load_next(std::size_t engine);
    [[nodiscard]] bool make_room(std::size_t engine);
    void loaded(std::size_t engine, std::uint32_t adapter, bool ok);
    void drop_late(std::size_t engine, std::uint32_t adapter);
    void lost_engine(std::size_t engine);
    void report();

    site& site_;
    baseline kind_;
    generator random_;
    std::vector<engine_book> books_;
    std::vector<std::size_t> reported_;
    std::vector<std::vector<std::size_t>> own_; ///< by gateway and engine
};

} // namespace lovagegate::measure

#endif
