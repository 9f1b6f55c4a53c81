#ifndef LOVAGEGATE_MEMBERSHIP_SETTINGS_HPP
#define LOVAGEGATE_MEMBERSHIP_SETTINGS_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::membership {

struct membership_settings
{
    duration heartbeat_interval = 1s;
    std::size_t ring_fanout = 1;     ///< next instances in the order of names
    std::size_t random_fanout = 2;   ///< others, drawn for each heartbeat
    std::size_t startup_fanout = 16; ///< while starting, in the order of names
    std::size_t max_contact_ages = 160; ///< peers vouched for in a heartbeat
    std::size_t announce_fanout = 32;   ///< told at once that this one leaves
    duration suspicion_duration = 3s;   ///< after direct evidence of a failure
    duration contact_timeout = 10s;     ///< silent for longer: not usable
    duration list_lag = 10s;       ///< bound on the age of a list just read
    duration list_fresh = 15s;     ///< a list confirmed longer ago is not fresh
    duration clock_skew = 500ms;   ///< bound between any two wall clocks
    duration pause_threshold = 2s; ///< a longer gap between ticks is a pause
    duration list_history_duration =
        2h; ///< how long earlier lists are remembered
};

} // namespace lovagegate::membership

#endif
