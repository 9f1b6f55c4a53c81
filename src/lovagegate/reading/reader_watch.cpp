#include "lovagegate/reading/reader_watch.hpp"

namespace lovagegate::reading {

namespace {

constexpr duration keepalive_interval = 250ms;
/// Two keepalives may be lost, or the first of two readers.
constexpr duration max_silence = 700ms;
/// Time in which the news of one instance that takes over reach the next.
constexpr duration take_over_step = 50ms;

/// Between two checks; a core that is shared by allowance may rest for a tenth
/// of a second.
constexpr duration max_check_interval = 150ms;
/// Time of checks without delay in which keepalives that lay unread are read.
constexpr duration min_time_on_time = 250ms;

} // namespace

void reader_watch::on_keepalive(time_point now)
{
    last_keepalive_ = now;
}

void reader_watch::on_check(time_point now)
{
    if (now - last_check_ > max_check_interval)
        on_time_since_ = now;
    last_check_ = now;
}

bool reader_watch::is_keepalive_due(std::size_t before, time_point now) const
{
    return now - last_keepalive_ >=
           keepalive_interval * static_cast<duration::rep>(1 + before);
}

bool reader_watch::is_silent(time_point now) const
{
    return now - last_keepalive_ >= max_silence;
}

bool reader_watch::is_take_over_due(std::size_t before, time_point now) const
{
    return now - on_time_since_ >= min_time_on_time &&
           now - last_keepalive_ >=
               max_silence +
                   take_over_step * static_cast<duration::rep>(before);
}

} // namespace lovagegate::reading
