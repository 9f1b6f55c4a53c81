#include "soak/config_watch.hpp"

namespace lovagegate::soak {

namespace {

/// From the store's acknowledgement until a version is in force.
constexpr duration apply_bound = 2s;
/// Answers on several connections may overtake each other for so long.
constexpr duration overtaking = 250ms;
/// The same while faults slow an instance down.
constexpr duration overtaking_in_faults = 2s;

} // namespace

config_watch::config_watch(const calm_record& calm, report_handler report)
    : calm_(calm), report_(std::move(report))
{
}

void config_watch::on_acknowledged(std::uint64_t version, time_point now)
{
    newest_ = version;
    newest_acknowledged_ = now;
}

void config_watch::on_started(const std::string& instance, time_point now)
{
    lifetimes_[instance] = {now, false, 0, {}};
}

void config_watch::on_stop(const std::string& instance)
{
    lifetimes_[instance].stopping = true;
}

bool config_watch::is_late(const lifetime& l, time_point sent) const
{
    return !l.stopping && sent >= newest_acknowledged_ + apply_bound &&
           sent >= l.started + stable_window &&
           calm_.is_calm(sent - stable_window, sent);
}

bool config_watch::went_back(const lifetime& l, std::uint64_t shown,
                             time_point sent) const
{
    const bool calm = calm_.is_calm(l.highest_seen - stable_window, sent);
    return shown < l.highest &&
           sent > l.highest_seen + (calm ? overtaking : overtaking_in_faults);
}

void config_watch::on_answer(const std::string& instance, std::uint64_t version,
                             bool in_force, time_point sent, time_point now)
{
    lifetime& l = lifetimes_[instance];
    // Of an answer that crossed a start or a newer version nothing is known.
    if (sent < l.started || (!in_force && version != newest_))
        return;
    const std::uint64_t shown = in_force ? version : version - 1;
    const std::string seen = "version " + std::to_string(shown) +
                             (in_force ? "" : " or older") + " in force";
    if (shown < newest_ && is_late(l, sent))
        report_({now, instance, "", seen,
                 "version " + std::to_string(newest_) + ", acknowledged " +
                     std::to_string(to_ms(sent - newest_acknowledged_)) +
                     " ms before the question"});
    if (went_back(l, shown, sent))
        report_({now, instance, "", seen,
                 "version " + std::to_string(l.highest) + ", seen before"});
    if (in_force && shown > l.highest) {
        l.highest = shown;
        l.highest_seen = now;
    }
}

} // namespace lovagegate::soak
