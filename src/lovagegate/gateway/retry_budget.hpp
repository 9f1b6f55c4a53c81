#ifndef LOVAGEGATE_GATEWAY_RETRY_BUDGET_HPP
#define LOVAGEGATE_GATEWAY_RETRY_BUDGET_HPP

#include "lovagegate/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// This instance's part of the bound on repeated sends to a service. The bound
/// holds for all instances together; each keeps to the part that its own
/// requests earn, and an even part of the fixed allowance, so that none has to
/// ask another.
class retry_budget
{
public:
    /// @param ratio repeats for each request
    /// @param slack further repeats in a window, all instances together
    /// @param window length of the sliding window
    /// @param slack_start the fixed allowance is used from then on: what an
    ///        earlier process of this machine used of it isn't known
    retry_budget(double ratio, double slack, duration window,
                 time_point slack_start = {});

    /// Counts a caller's request for a service.
    void on_request(std::string_view service, time_point now);

    /// @param instances that share the fixed allowance, as far as known: the
    ///        most of the last minute count, since the others go on while this
    ///        one doesn't hear them
    /// @return whether a repeat may be sent; it is counted then
    bool try_consume(std::string_view service, std::size_t instances,
                     time_point now);

private:
    static constexpr std::size_t buckets = 10;

    struct usage
    {
        std::array<std::uint32_t, buckets> requests{};
        std::array<std::uint32_t, buckets> repeats{};
        std::int64_t newest = 0; ///< number of the newest bucket
    };

    usage& advance(std::string_view service, time_point now);
    /// @return this instance's part of the fixed allowance
    double own_slack_share(std::size_t instances, time_point now);

    double ratio_;
    double slack_;
    duration bucket_;
    time_point slack_start_;
    std::size_t max_instances_ = 1;
    time_point max_instances_at_{}; ///< when so many were last known
    std::map<std::string, usage, std::less<>> services_;
};

} // namespace lovagegate::gateway

#endif
