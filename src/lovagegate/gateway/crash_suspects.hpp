#ifndef LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP
#define LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagegate::gateway {

/// @return name of one run of an engine
/// @param started_ms Unix time of its start
[[nodiscard]] std::string engine_run(std::string_view engine,
                                     std::int64_t started_ms);

/// Counts the engines that crashed while they ran a request, told by path and
/// body. The third crash ends the request for all instances. A broken
/// connection is a crash only if the engine's run ends at about that time:
/// engines also reset connections that they have no room for.
class crash_suspects
{
public:
    /// @return what a repeat of the request has in common with it
    [[nodiscard]] static fingerprint
    fingerprint_of(std::string_view method, std::string_view path,
                   std::string_view body) noexcept;

    /// A connection to an engine broke with the request on it.
    /// @param run of the engine, see engine_run()
    void on_connection_broken(fingerprint request, std::string_view run,
                              time_point now);

    /// The run of an engine is over: the store lists another one or none, or
    /// nothing takes connections at its address.
    /// @return crashes that are counted now
    std::size_t on_run_ended(std::string_view run, time_point now);

    /// An engine crashed with the request on it.
    /// @param engine with the time of its start, so that one crash that two
    ///        instances report counts once
    void on_crash(fingerprint request, std::string_view engine, time_point now);

    /// The request was answered: it is harmless.
    void on_answer(fingerprint request);

    /// @return whether the request must not be sent any more
    [[nodiscard]] bool is_blocked(fingerprint request, time_point now) const;

    /// Forgets what is old.
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
        time_point last{};                     ///< crash
        std::vector<broken_connection> breaks; ///< that may be crashes
    };

    std::unordered_map<fingerprint, suspect> suspects_;
    std::map<std::string, time_point, std::less<>> ended_runs_;
};

} // namespace lovagegate::gateway

#endif
