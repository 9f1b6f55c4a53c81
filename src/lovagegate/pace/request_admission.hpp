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

/// The admission of one caller's request, which may ask several engines and run
/// at several in turn.
class request_admission
{
public:
    explicit request_admission(engine_admission& shared) : shared_(shared) {}
    ~request_admission() { reset(); }
    request_admission(const request_admission&) = delete;
    request_admission& operator=(const request_admission&) = delete;

    /// Asks for the chosen engine.
    /// @param slots of the engine
    /// @param go_on called once unless reset, possibly before this function
    ///        returns. Its argument says whether the request may be sent there;
    ///        otherwise the engine is to be excluded.
    void ask(const gateway::placement_choice& choice,
             gateway::run_request request, std::uint32_t slots,
             std::function<void(bool may_send)> go_on);

    [[nodiscard]] refused_choices& refusals() noexcept { return refusals_; }

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
    engine_admission& shared_;
    refused_choices refusals_;
    run_permit permit_;
    bool waits_for_adapter_ = false;
    std::uint64_t number_ = 0;      ///< of the question without an answer
    std::shared_ptr<int> question_; ///< expires when the question is given up
};

} // namespace lovagegate::pace

#endif
