#ifndef LOVAGEGATE_CRASHES_CRASH_LOG_HPP
#define LOVAGEGATE_CRASHES_CRASH_LOG_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/crashes/crash_traits.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::crashes {

/// A run of an engine that ended, and the requests whose connections broke.
struct crash_record
{
    std::string run; ///< see gateway::engine_run()
    std::vector<crash_traits> requests{};
    time_point broken_at{}; ///< latest of the broken connections
    std::optional<time_point> ended_at{};
    /// Hash of the run and of the requests, in any order; the same for all
    /// records of the run that are full.
    fingerprint evidence = 0;
};

/// The latest crashes with all evidence, so that instances can exchange what
/// one of them has missed: each crash is told only once when it happens. What
/// follows from the crashes is derived by each instance itself.
class crash_log
{
public:
    /// @return whether this is new
    bool on_connection_broken(const crash_traits& request, std::string_view run,
                              time_point at);

    /// Called when a run has ended; a later call for the same run is ignored.
    void on_run_ended(std::string_view run, time_point at);

    /// @return one hash for each crash and the evidence that is known of it,
    ///         the latest crashes first
    [[nodiscard]] std::vector<fingerprint> digest(time_point now) const;

    /// @param digest of another instance
    /// @return the crashes that it lacks, wholly or in part, the latest first
    [[nodiscard]] std::vector<const crash_record*>
    missing_in(std::span<const fingerprint> digest, time_point now) const;

    /// @param digest of another instance
    /// @return whether it names a crash that isn't known here in the same way
    [[nodiscard]] bool lacks_any(std::span<const fingerprint> digest,
                                 time_point now) const;

    /// Erases what is too old to matter.
    void expire(time_point now);

private:
    /// @return null if there are too many runs
    crash_record* find_or_add(std::string_view run, time_point at);
    /// @return the crashes that are exchanged, the latest first
    [[nodiscard]] std::vector<const crash_record*> latest(time_point now) const;

    std::map<std::string, crash_record, std::less<>> records_;
};

} // namespace lovagegate::crashes

#endif
