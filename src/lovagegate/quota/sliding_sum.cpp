#include "lovagegate/quota/sliding_sum.hpp"

#include <algorithm>

namespace lovagegate::quota {

sliding_sum::sliding_sum(duration window)
    : width_(std::max<duration>(window / slots_per_window, duration(1)))
{
}

std::int64_t sliding_sum::slot_number(time_point t) const
{
    return t.time_since_epoch() / width_;
}

duration sliding_sum::time_in_slot(time_point t) const
{
    return t.time_since_epoch() - slot_number(t) * width_;
}

void sliding_sum::add(std::int64_t tokens, time_point now)
{
    const std::int64_t number = slot_number(now);
    while (!slots_.empty() && slots_.front().number < number - slots_per_window)
        slots_.pop_front();
    if (slots_.empty() || slots_.back().number < number)
        slots_.push_back({number, 0});
    slots_.back().tokens += tokens;
}

std::int64_t sliding_sum::sum_from(std::int64_t first) const
{
    std::int64_t total = 0;
    for (const slot& s : slots_)
        if (s.number >= first)
            total += s.tokens;
    return std::max<std::int64_t>(total, 0);
}

std::int64_t sliding_sum::sum(time_point now) const
{
    const std::int64_t oldest = slot_number(now) - slots_per_window;
    const std::int64_t whole = sum_from(oldest + 1);
    const auto partial = std::ranges::find(slots_, oldest, &slot::number);
    if (partial == slots_.end())
        return whole;
    const duration left = width_ - time_in_slot(now);
    return whole + std::max<std::int64_t>(partial->tokens, 0) * left.count() /
                       width_.count();
}

double sliding_sum::rate(duration horizon, time_point now) const
{
    const std::int64_t whole = std::max<std::int64_t>(horizon / width_, 1);
    const std::int64_t current = slot_number(now);
    return static_cast<double>(sum_from(current - whole)) /
           to_seconds(whole * width_ + time_in_slot(now));
}

} // namespace lovagegate::quota
