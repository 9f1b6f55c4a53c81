#ifndef LOVAGEGATE_ADMISSION_WAITING_LINE_HPP
#define LOVAGEGATE_ADMISSION_WAITING_LINE_HPP

#include "lovagegate/admission/flow_shares.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Which waiting request is served next, and which are refused.
namespace lovagegate::admission {

/// A request that waits for a permit.
struct waiting_request
{
    std::uint64_t id = 0;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint64_t workspace = 0;
    std::uint64_t kind = 0;
    time_point arrived{};
    /// Latest start with which the request meets its objective, and with which
    /// it is answered before its deadline.
    time_point in_time_until{};
    time_point latest_start{};
};

enum class refusal_reason : std::uint8_t
{
    overload, ///< it would be late, or make others late
    late,     ///< it is late already, and others still can be in time
    deadline, ///< it can't be served before its deadline
};

struct refused_request
{
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overload;
};

/// The requests that wait for the permits of one service. Its order is: flows
/// that are starved, priority, time left to the objective; late requests come
/// last. While the expected waits make one of them late, requests are refused:
/// the least urgent first, among these the latest of the flow that gets most
/// compared with its usual demand.
class waiting_line
{
public:
    /// Adds a request.
    /// @param per_second requests that are expected to start in a second
    /// @return requests to refuse, which may include this one
    [[nodiscard]] std::vector<refused_request>
    add(const waiting_request& request, double per_second, time_point now);

    /// @return the request to serve next, which no longer waits
    std::optional<waiting_request> take_next(time_point now);

    /// @return requests that are to be refused because time has passed
    [[nodiscard]] std::vector<refused_request> expire(double per_second,
                                                      time_point now);

    /// Removes a request whose sender gave it up.
    /// @return whether it waited
    bool remove(std::uint64_t id);

    /// @return expected time until the request is served
    [[nodiscard]] duration expected_wait(std::uint64_t id,
                                         double per_second) const;

    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

private:
    struct entry : waiting_request
    {
        bool starved = false; ///< its flow, when it arrived
    };

    [[nodiscard]] static std::uint64_t flow(const waiting_request& r);
    [[nodiscard]] bool is_starved(const waiting_request& r,
                                  time_point now) const;
    void sort(time_point now);
    void shed(double per_second, time_point now,
              std::vector<refused_request>& out);
    /// @return position of the first request that would be late without being
    ///         late now
    [[nodiscard]] std::optional<std::size_t> first_late(double per_second,
                                                        time_point now) const;
    [[nodiscard]] std::size_t choose_victim(std::size_t last,
                                            time_point now) const;

    std::vector<entry> waiting_; ///< in order after sort()
    flow_shares flows_;
    flow_shares workspaces_;
    flow_shares kinds_;
};

} // namespace lovagegate::admission

#endif
