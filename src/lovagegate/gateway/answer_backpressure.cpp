#include "lovagegate/gateway/answer_backpressure.hpp"

#include <utility>

namespace lovagegate::gateway {

answer_backpressure::answer_backpressure(answer_memory& memory,
                                         caller_connection& caller,
                                         std::function<void()> on_resumed)
    : caller_(caller), on_resumed_(std::move(on_resumed)),
      share_(memory, [this] { on_room(); })
{
}

void answer_backpressure::begin(const std::string& target, target_call& call)
{
    target_ = target;
    call_ = &call;
    incomplete_ = 0;
    paused_ = false;
}

void answer_backpressure::end()
{
    call_ = nullptr;
    paused_ = false;
    share_.release();
}

bool answer_backpressure::update(std::size_t incomplete,
                                 std::size_t unsent_limit)
{
    if (call_ == nullptr)
        return true;
    incomplete_ = incomplete;
    unsent_limit_ = unsent_limit;
    const std::size_t unsent = caller_.unsent();
    const bool waits_for_caller = unsent > 0 && unsent >= incomplete;
    const bool has_memory =
        share_.hold(target_, incomplete + unsent, waits_for_caller);
    if (!has_memory || unsent >= unsent_limit)
        pause();
    else
        resume();
    return has_memory;
}

void answer_backpressure::pause()
{
    if (std::exchange(paused_, true))
        return;
    call_->set_reading(false);
    caller_.set_drained_handler([this] { on_drained(); });
}

void answer_backpressure::resume()
{
    if (!std::exchange(paused_, false))
        return;
    on_resumed_();
    call_->set_reading(true);
}

void answer_backpressure::on_drained()
{
    if (paused_ && share_.hold(target_, incomplete_, false))
        resume();
}

void answer_backpressure::on_room()
{
    if (paused_ && caller_.unsent() < unsent_limit_)
        resume();
}

} // namespace lovagegate::gateway
