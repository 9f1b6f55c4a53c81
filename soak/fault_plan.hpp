#ifndef LOVAGEGATE_SOAK_FAULT_PLAN_HPP
#define LOVAGEGATE_SOAK_FAULT_PLAN_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lovagegate::soak {

/// What is done to the instances and around them.
enum class fault : std::uint8_t
{
    stop,              ///< SIGTERM to one instance, started again at its end
    reload,            ///< SIGHUP to one instance
    new_config,        ///< the operator publishes a version
    kill,              ///< SIGKILL to one instance, started again
    kill_all,          ///< all instances at once
    pause,             ///< SIGSTOP, later SIGCONT, to one instance
    target_reset,      ///< all connections of one target
    target_silent,     ///< a target's link carries nothing, later goes on
    target_stuck,      ///< a target's open connections carry nothing any more
    target_no_way_in,  ///< requests don't arrive, later go on
    target_no_way_out, ///< answers don't arrive, later go on
    target_slow,       ///< a target's link is delayed
    target_crash,      ///< all is lost; the target starts again, empty
    store_down,        ///< the store refuses
    store_silent,      ///< the store's link carries nothing
    store_slow,        ///< the store's link is delayed
    store_reset,       ///< all connections of the store
    callers_slow,      ///< the link of one instance's callers is delayed
    callers_reset,     ///< connections between callers and one instance
    target_leaves,     ///< a target says so in its answers, then is replaced
    target_turns_away, ///< a target says for how long it wants no requests
    store_restored,    ///< the store is away, and returns from an older copy
};

/// @return name for messages
[[nodiscard]] std::string_view name_of(fault f) noexcept;

/// @return whether it is what a target says of itself
[[nodiscard]] bool is_notice(fault f) noexcept;

/// @return whether it is planned work or a notice, around which nothing may be
///         lost
[[nodiscard]] bool is_planned(fault f) noexcept;

/// @return whether it is done to an instance or its callers
[[nodiscard]] bool is_of_instance(fault f) noexcept;

/// One fault of a plan.
struct planned_fault
{
    duration at{}; ///< since the start of the soak
    fault what = fault::stop;
    std::size_t whom = 0; ///< instance or target, where there are several
    duration lasts{};     ///< until it is undone
    bool variant = false; ///< what is drawn besides, such as a new id
};

struct plan_settings
{
    std::uint64_t seed = 1;
    duration length = 20s;
    std::size_t instances = 4;
    std::size_t targets = 6;
};

/// Draws series of overlapping faults in turn with series of planned work in
/// calm times, and notices of targets all the time. The same settings give the
/// same plan.
/// @return sorted by time
[[nodiscard]] std::vector<planned_fault> draw_plan(const plan_settings& s);

} // namespace lovagegate::soak

#endif
