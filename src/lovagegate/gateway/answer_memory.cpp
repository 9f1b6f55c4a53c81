#include "lovagegate/gateway/answer_memory.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagegate::gateway {

namespace {

/// Share of a process's memory for the answers that it holds, as a divisor.
/// Answers may take as much again while they have turns, and strings reserve
/// up to twice what they hold.
constexpr std::size_t memory_divisor = 32;
/// A target's part of what all targets may take, as a divisor: a few faulty
/// targets must leave room for the others.
constexpr std::size_t target_divisor = 4;
constexpr std::size_t min_turns = 2;

} // namespace

answer_memory_limits limits_for_process(std::size_t process_bytes,
                                        std::size_t largest_answer)
{
    answer_memory_limits out;
    out.shared_bytes = process_bytes / memory_divisor;
    out.shared_bytes_of_target = out.shared_bytes / target_divisor;
    out.turns = std::max(min_turns, out.shared_bytes / largest_answer);
    out.turns_of_target = std::max<std::size_t>(1, out.turns / target_divisor);
    return out;
}

answer_memory::answer_memory(const answer_memory_limits& limits)
    : limits_(limits)
{
}

void answer_memory::count(share& s, std::size_t bytes)
{
    usage& of_target = by_target_[s.target_];
    total_.bytes += bytes - s.counted_;
    of_target.bytes += bytes - s.counted_;
    s.counted_ = bytes;
    if (of_target.bytes == 0 && of_target.turns == 0)
        by_target_.erase(s.target_);
}

bool answer_memory::end_turn(share& s)
{
    if (!std::exchange(s.has_turn_, false))
        return false;
    --total_.turns;
    usage& of_target = by_target_[s.target_];
    --of_target.turns;
    if (of_target.bytes == 0 && of_target.turns == 0)
        by_target_.erase(s.target_);
    return true;
}

void answer_memory::stop_waiting(share& s)
{
    if (std::exchange(s.waiting_, false))
        waiting_.remove(&s);
}

bool answer_memory::has_room(const std::string& target) const
{
    const auto it = by_target_.find(target);
    return total_.bytes < limits_.shared_bytes &&
           (it == by_target_.end() ||
            it->second.bytes < limits_.shared_bytes_of_target);
}

bool answer_memory::take_turn(share& s)
{
    usage& of_target = by_target_[s.target_];
    s.has_turn_ = total_.turns < limits_.turns &&
                  of_target.turns < limits_.turns_of_target;
    if (s.has_turn_) {
        ++total_.turns;
        ++of_target.turns;
    }
    return s.has_turn_;
}

void answer_memory::wake()
{
    std::vector<share*> awake;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        share& s = **it;
        const bool has_turn = !has_room(s.target_);
        if (has_turn && !take_turn(s)) {
            ++it;
            continue;
        }
        // Room is for one more read of each answer, not of all that wait.
        if (!has_turn)
            count(s, s.counted_ + limits_.read_bytes);
        it = waiting_.erase(it);
        s.waiting_ = false;
        awake.push_back(&s);
    }
    for (share* const s : awake)
        s->on_room_();
}

answer_memory::share::share(answer_memory& memory,
                            std::function<void()> on_room)
    : memory_(memory), on_room_(std::move(on_room))
{
}

answer_memory::share::~share()
{
    release();
}

bool answer_memory::share::hold(const std::string& target, std::size_t bytes,
                                bool waits_for_caller)
{
    if (target != target_)
        release();
    target_ = target;
    const std::size_t before = counted_;
    const std::size_t free = memory_.limits_.free_bytes;
    memory_.count(*this, bytes > free ? bytes - free : 0);
    bool leaves_room = counted_ < before;
    if (counted_ == 0 || waits_for_caller) {
        leaves_room = memory_.end_turn(*this) || leaves_room;
        memory_.stop_waiting(*this);
    }
    const bool may_go_on =
        counted_ == 0 || has_turn_ || memory_.has_room(target_) ||
        (!waits_for_caller && !waiting_ && memory_.take_turn(*this));
    if (may_go_on)
        memory_.stop_waiting(*this);
    else if (!waits_for_caller && !std::exchange(waiting_, true))
        memory_.waiting_.push_back(this);
    if (leaves_room)
        memory_.wake();
    return may_go_on;
}

void answer_memory::share::release()
{
    memory_.stop_waiting(*this);
    const bool had_turn = memory_.end_turn(*this);
    const bool held = counted_ > 0;
    if (held)
        memory_.count(*this, 0);
    if (held || had_turn)
        memory_.wake();
}

} // namespace lovagegate::gateway
