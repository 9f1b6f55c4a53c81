#include "lovagegate/reading/reader_watch.hpp"

namespace lovagegate::reading {

namespace {

constexpr duration keepalive_interval = 250ms;
/// Two keepalives may be lost, or the first of two readers.
constexpr duration max_silence = 700ms;
/// Time in which the news of one instance that takes over reach the next.
constexpr duration take_over_step = 50ms;

} // namespace

void reader_watch::on_keepalive(time_point now)
{
    last_keepalive_ = now;
    was_due_ = false;
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

bool reader_watch::is_take_over_due(std::size_t before, time_point now)
{
    const bool due =
        now - last_keepalive_ >=
        max_silence + take_over_step * static_cast<duration::rep>(before);
    const bool was_due = was_due_;
    was_due_ = due;
    return due && was_due;
}

} // namespace lovagegate::reading
