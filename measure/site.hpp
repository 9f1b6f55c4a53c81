#ifndef LOVAGEGATE_MEASURE_SITE_HPP
#define LOVAGEGATE_MEASURE_SITE_HPP

#include "measure/event_queue.hpp"
#include "measure/fake_engine.hpp"
#include "measure/fake_store.hpp"
#include "measure/results.hpp"
#include "measure/scenario.hpp"
#include "measure/workload.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace lovagegate::measure {

/// The engines and the store that a policy works with, and the book of
/// results.
class site
{
public:
    site(const deployment& d, const scenario& s,
         std::span<const request> requests, std::uint64_t seed);

    [[nodiscard]] event_queue& clock() noexcept { return clock_; }
    [[nodiscard]] fake_engine& engine(std::size_t i) { return *engines_[i]; }
    [[nodiscard]] std::size_t engines() const noexcept
    {
        return engines_.size();
    }
    [[nodiscard]] std::size_t domain_of(std::size_t engine) const noexcept
    {
        return engine % deployment_.domains;
    }
    [[nodiscard]] const deployment& sizes() const noexcept
    {
        return deployment_;
    }
    [[nodiscard]] const scenario& events() const noexcept { return scenario_; }
    [[nodiscard]] const request& what(std::size_t i) const
    {
        return requests_[i];
    }
    [[nodiscard]] std::size_t requests() const noexcept
    {
        return requests_.size();
    }
    [[nodiscard]] request_result& result(std::size_t i)
    {
        return results_.requests[i];
    }
    /// @return whether an engine that is up holds the adapter
    [[nodiscard]] bool resident(std::uint32_t adapter) const;

    /// The adapter is there, `stall` after the request came.
    void adapter_ready(std::size_t i);
    void not_run(std::size_t i, refusal reason);
    void first_token(std::size_t i);
    void completed(std::size_t i);

    /// Runs to the end, and longer for what is still under way.
    run_results run();

private:
    void plan_events();

    const deployment& deployment_;
    const scenario& scenario_;
    std::span<const request> requests_;
    event_queue clock_;
    fake_store store_;
    std::vector<std::unique_ptr<fake_engine>> engines_;
    run_results results_;
};

} // namespace lovagegate::measure

#endif
