#ifndef LOVAGEGATE_GATEWAY_RETRY_BUDGET_HPP
#define LOVAGEGATE_GATEWAY_RETRY_BUDGET_HPP

#include "lovagegate/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// What a retry repeats.
enum class retry_of : std::uint8_t
{
    whole_request, ///< nothing of the answer was passed on
    begun_stream   ///< without the retry, the caller gets a truncated answer
};

/// This instance's share of the limit on retries to a service. The limit holds
/// for all instances together. Each may use the retries that its own requests
/// earn and an equal share of the fixed allowance, so that instances need no
/// coordination.
class retry_budget
{
public:
    /// @param ratio retries per request
    /// @param slack fixed allowance of retries per window, for all instances
    ///        together
    /// @param window length of the sliding window
    /// @param slack_start time from which the fixed allowance may be used; how
    ///        much of it an earlier process of this machine has used is unknown
    retry_budget(double ratio, double slack, duration window,
                 time_point slack_start = {});

    /// Counts a caller's request to a service.
    void on_request(std::string_view service, time_point now);

    /// @param instances known instances that share the fixed allowance. The
    ///        highest number of the last minute is used, because instances that
    ///        this one no longer receives heartbeats from may still be running
    /// @param kind retries of whole requests leave a part of the allowance to
    ///        begun streams
    /// @return whether a retry may be sent; if so, it is counted
    bool try_consume(std::string_view service, std::size_t instances,
                     time_point now, retry_of kind = retry_of::whole_request);

private:
    static constexpr std::size_t buckets = 10;

    struct usage
    {
        std::array<std::uint32_t, buckets> requests{};
        std::array<std::uint32_t, buckets> repeats{};
        std::int64_t newest = 0; ///< number of the newest bucket
    };

    usage& advance(std::string_view service, time_point now);
    /// @return this instance's share of the fixed allowance
    double own_slack_share(std::size_t instances, time_point now);

    double ratio_;
    double slack_;
    duration bucket_;
    time_point slack_start_;
    std::size_t max_instances_ = 1;
    time_point max_instances_at_{}; ///< when that number was last known
    std::map<std::string, usage, std::less<>> services_;
};

} // namespace lovagegate::gateway

#endif
