#ifndef LOVAGEGATE_MEMBERSHIP_SETTINGS_HPP
#define LOVAGEGATE_MEMBERSHIP_SETTINGS_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::membership {

struct membership_settings
{
    duration heartbeat_interval = 1s;
    /// Successors in name order that receive each heartbeat.
    std::size_t ring_fanout = 1;
    /// Random instances that receive each heartbeat in addition.
    std::size_t random_fanout = 2;
    /// Receivers of each heartbeat in name order while starting.
    std::size_t startup_fanout = 16;
    std::size_t max_contact_ages = 160; ///< entries in one heartbeat
    /// Receivers of an immediate heartbeat after a phase change.
    std::size_t announce_fanout = 32;
    duration suspicion_duration = 3s; ///< after direct evidence of a failure
    /// An instance without contact for longer is not usable.
    duration contact_timeout = 10s;
    duration list_lag = 10s; ///< maximum age of a list when it is read
    /// A list that was last confirmed longer ago is not fresh.
    duration list_fresh = 15s;
    duration clock_skew = 500ms;   ///< maximum between any two wall clocks
    duration pause_threshold = 2s; ///< a longer gap between ticks is a pause
    duration list_history_duration = 2h; ///< retention of superseded lists
};

} // namespace lovagegate::membership

#endif
