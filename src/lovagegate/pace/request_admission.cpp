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

void request_admission::seek(const gateway::placement_choice& choice,
                             gateway::run_request request)
{
    reset();
    request.engine = choice.target;
    request.waits_for_adapter = waits_for_adapter_ = !choice.resident;
    request_ = request;
    question_ = std::make_shared<int>();
    const std::weak_ptr<int> open_question = question_;
    const auto number =
        shared_.ask(std::move(request),
                    [this, open_question, choice](const admission_answer& a) {
                        if (!open_question.expired())
                            on_answer(choice, a);
                    });
    if (!open_question.expired())
        number_ = number;
}

void request_admission::on_answer(const gateway::placement_choice& choice,
                                  const admission_answer& a)
{
    number_ = 0;
    question_.reset();
    if (a.result == admission_answer::kind::admitted)
        permit_ = shared_.make_permit(a.number);
    if (a.result != admission_answer::kind::refused) {
        refusals_.take_least_loaded(excluded_);
        on_step_(admission_step::go, choice);
        return;
    }
    refusals_.add(choice, a.open_requests, a.usable_slots,
                  shared_.slots(choice.target));
    excluded_.push_back(choice.target);
    if (refusals_.is_complete())
        settle();
    else
        on_step_(admission_step::choose_again, choice);
}

void request_admission::settle()
{
    const auto least = refusals_.take_least_loaded(excluded_);
    if (!least) {
        on_step_(admission_step::full, {});
        return;
    }
    shared_.count_override();
    gateway::run_request request = request_;
    request.must_run = true;
    seek(*least, std::move(request));
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
