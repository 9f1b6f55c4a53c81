#ifndef LOVAGEGATE_PACE_REQUEST_ADMISSION_HPP
#define LOVAGEGATE_PACE_REQUEST_ADMISSION_HPP

#include "lovagegate/gateway/placement.hpp"
#include "lovagegate/pace/engine_admission.hpp"
#include "lovagegate/pace/run_permit.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::pace {

/// The engines that refused one request during one choice of a target.
class refused_choices
{
public:
    /// Owners that are asked before the request goes to the least loaded of
    /// their engines: the gate steers requests, it doesn't end them.
    static constexpr std::size_t max_refusals = 3;

    /// @param usable open requests that the engine's owner allows now
    /// @param slots of the engine
    void add(const gateway::placement_choice& choice, std::uint32_t open,
             std::uint32_t usable, std::uint32_t slots);

    [[nodiscard]] bool empty() const noexcept { return refused_.empty(); }
    [[nodiscard]] bool is_complete() const noexcept
    {
        return refused_.size() >= max_refusals;
    }

    /// Ends the choice.
    /// @param excluded the refused engines are removed from it
    /// @return the engine with the lowest load by what its owner allows, among
    ///         those that have room in their slots and queues
    std::optional<gateway::placement_choice>
    take_least_loaded(std::vector<std::string>& excluded);

private:
    struct refused
    {
        gateway::placement_choice choice;
        std::uint32_t open = 0;
        std::uint32_t usable = 1;
        std::uint32_t slots = 1;
    };
    std::vector<refused> refused_;
};

/// What a request does after an owner was asked.
enum class admission_step : std::uint8_t
{
    go,           ///< to the engine
    choose_again, ///< among the engines that are not excluded
    full          ///< no asked engine has room
};

/// The admission of one caller's request, which may ask several engines and run
/// at several in turn.
class request_admission
{
public:
    using step_handler = std::function<void(
        admission_step step, const gateway::placement_choice& choice)>;

    /// @param excluded engines that the request isn't sent to; those that
    ///        refuse are added until the choice has ended
    /// @param on_step called once for each call of seek() or settle() unless
    ///        reset, possibly before it returns
    request_admission(engine_admission& shared,
                      std::vector<std::string>& excluded, step_handler on_step)
        : shared_(shared), excluded_(excluded), on_step_(std::move(on_step))
    {
    }
    ~request_admission() { reset(); }
    request_admission(const request_admission&) = delete;
    request_admission& operator=(const request_admission&) = delete;

    /// Asks the owner of the chosen engine.
    void seek(const gateway::placement_choice& choice,
              gateway::run_request request);

    /// Goes to the least loaded of the engines that refused, since no other one
    /// can be chosen.
    void settle();

    /// @return whether an engine has refused in the current choice
    [[nodiscard]] bool was_refused() const noexcept
    {
        return !refusals_.empty();
    }

    /// Called when the request has been sent.
    void on_sent()
    {
        if (std::exchange(waits_for_adapter_, false))
            permit_.on_sent();
    }

    /// Called for each event of the answer.
    /// @param time since the request was sent
    void on_event(duration time) { permit_.on_event(time); }

    /// @param outcome told to the owner when the permit is released
    void set_outcome(gateway::run_event outcome) noexcept
    {
        permit_.set_outcome(outcome);
    }

    /// Returns the permit, and gives up a question without an answer.
    void reset();

private:
    void on_answer(const gateway::placement_choice& choice,
                   const admission_answer& a);

    engine_admission& shared_;
    std::vector<std::string>& excluded_;
    step_handler on_step_;
    gateway::run_request request_; ///< as last asked
    refused_choices refusals_;
    run_permit permit_;
    bool waits_for_adapter_ = false;
    std::uint64_t number_ = 0;      ///< of the question without an answer
    std::shared_ptr<int> question_; ///< expires when the question is given up
};

} // namespace lovagegate::pace

#endif
