#include "lovagegate/pace/request_admission.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::pace {

namespace {

/// Requests that an engine is assumed to hold for each slot, running or queued:
/// the platform's engines queue three times their slots.
constexpr std::uint32_t held_requests_per_slot = 4;

} // namespace

void refused_choices::add(const gateway::placement_choice& choice,
                          std::uint32_t open, std::uint32_t usable,
                          std::uint32_t slots)
{
    refused_.push_back(
        {choice, open, std::max(1U, usable), std::max(1U, slots)});
}

std::optional<gateway::placement_choice>
refused_choices::take_least_loaded(std::vector<std::string>& excluded)
{
    auto all = std::exchange(refused_, {});
    for (const auto& r : all)
        std::erase(excluded, r.choice.target);
    std::erase_if(all, [](const refused& r) {
        return r.open >= held_requests_per_slot * r.slots;
    });
    const auto least = std::ranges::min_element(all, {}, [](const refused& r) {
        return static_cast<double>(r.open) / r.usable;
    });
    if (least == all.end())
        return std::nullopt;
    return least->choice;
}

void request_admission::ask(const gateway::placement_choice& choice,
                            gateway::run_request request, std::uint32_t slots,
                            std::function<void(bool may_send)> go_on)
{
    reset();
    request.waits_for_adapter = waits_for_adapter_ = !choice.resident;
    question_ = std::make_shared<int>();
    const std::weak_ptr<int> open_question = question_;
    const auto number = shared_.ask(
        std::move(request),
        [this, open_question, choice, slots,
         go_on = std::move(go_on)](const admission_answer& a) {
            if (open_question.expired())
                return;
            number_ = 0;
            question_.reset();
            if (a.result == admission_answer::kind::refused) {
                refusals_.add(choice, a.open_requests, a.usable_slots, slots);
                go_on(false);
                return;
            }
            if (a.result == admission_answer::kind::admitted)
                permit_ = shared_.make_permit(a.number);
            go_on(true);
        });
    if (!open_question.expired())
        number_ = number;
}

void request_admission::reset()
{
    if (number_ != 0)
        shared_.cancel(std::exchange(number_, 0));
    question_.reset();
    permit_.release();
    permit_ = {};
}

} // namespace lovagegate::pace
