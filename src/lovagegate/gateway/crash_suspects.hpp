#ifndef LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP
#define LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagegate::gateway {

/// @return name of one process run of an engine
/// @param started_ms Unix time of its start
[[nodiscard]] std::string engine_run(std::string_view engine,
                                     std::int64_t started_ms);

/// Counts the engines that crashed while they ran a request; requests are
/// identified by method, path and body. A request is blocked on all instances
/// after three crashes. A broken connection counts as a crash only if the
/// engine's run ends at about that time, because overloaded engines also reset
/// connections.
class crash_suspects
{
public:
    /// @return fingerprint that all repeats of a request share
    [[nodiscard]] static fingerprint
    fingerprint_of(std::string_view method, std::string_view path,
                   std::string_view body) noexcept;

    /// Called when a connection to an engine broke while the request ran on it.
    /// @param run of the engine, see engine_run()
    void on_connection_broken(fingerprint request, std::string_view run,
                              time_point now);

    /// Called when a run of an engine has ended: the store lists a different
    /// run or none, or its address refuses connections.
    /// @return number of broken connections that now count as crashes
    std::size_t on_run_ended(std::string_view run, time_point now);

    /// Called when an engine crashed while it ran the request.
    /// @param engine run of the engine, see engine_run(); a crash that two
    ///        instances report counts once
    void on_crash(fingerprint request, std::string_view engine, time_point now);

    /// Called when the request was answered, which clears it of suspicion of
    /// earlier crashes.
    void on_answer(fingerprint request, time_point at);

    /// The same for an answer that another instance tells of, whose evidence
    /// against the request may follow.
    void on_answer_told(fingerprint request, time_point at);

    /// @return time of the answer that cleared a suspected request, if any
    [[nodiscard]] std::optional<time_point>
    last_answer(fingerprint request) const;

    /// @return whether the request must not be sent again
    [[nodiscard]] bool is_blocked(fingerprint request, time_point now) const;

    /// @return all runs that crashed under those blocked requests that were
    ///         running when this run ended
    [[nodiscard]] std::vector<std::string>
    runs_ended_by_blocked(std::string_view run, time_point now) const;

    /// Erases expired records.
    void expire(time_point now);

private:
    struct broken_connection
    {
        std::string run;
        time_point at{};
    };

    struct suspect
    {
        std::vector<std::string> engines;
        time_point last_crash{};
        /// Breaks that may turn out to be crashes.
        std::vector<broken_connection> breaks;
    };

    /// @return whether a crash at this time counts
    [[nodiscard]] bool may_suspect(fingerprint request, time_point at);

    std::unordered_map<fingerprint, suspect> suspects_;
    /// Answers to suspected requests. Evidence that comes late, from an
    /// instance without these answers, must not bring the suspicion back.
    std::unordered_map<fingerprint, time_point> answers_;
    std::map<std::string, time_point, std::less<>> ended_runs_;
};

} // namespace lovagegate::gateway

#endif
