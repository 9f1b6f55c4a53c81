#ifndef LOVAGEGATE_PACE_ENGINE_GATE_HPP
#define LOVAGEGATE_PACE_ENGINE_GATE_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Limits how fast all instances together send requests to one engine.
namespace lovagegate::pace {

/// Parameters of the admission of requests to an engine.
struct gate_settings
{
    /// Share of the slots for requests that are not the most urgent, so that
    /// those find free slots.
    double ordinary_slot_share = 0.85;
    /// Share of the slots that a starting engine gets at first.
    double initial_pace = 0.125;
    /// Requests without a first event that an engine gets in any case.
    double min_window = 2;
    /// The largest window is this share of the slots plus the constant below.
    double max_window_slot_share = 0.25;
    double max_window_base = 4;
    /// A first event is good up to this multiple of the usual time, or this
    /// share of its latency objective.
    double good_factor = 1.5;
    double good_objective_share = 0.25;
    /// A first event later than this multiple of the usual time halves the
    /// window.
    double late_factor = 3;
    /// With a full window, requests are admitted while the waiting prompts
    /// take less than this.
    duration max_prompt_backlog = 150ms;
    /// Failures without a good answer in between after which the slow start
    /// begins again.
    std::uint32_t failure_series = 3;
    /// An instance that hasn't told its open requests for this time, that is,
    /// three periods of adapter_usage, is forgotten.
    duration holder_ttl = 1s;
    /// An admission that is younger may not be known to its instance yet when
    /// that tells its open requests.
    duration telling_lag = 100ms;
    /// Time between two tellings that both lack an admission, after which it
    /// is dropped. Tellings may follow each other within milliseconds.
    duration telling_gap = 200ms;
    /// Without evidence, a request that waits for its first event no longer
    /// counts as waiting after this time.
    duration unbegun_ttl = 5s;
};

/// What the owner of an engine knows of a request that is to be sent there.
struct gate_request
{
    std::uint64_t number = 0; ///< unique among those of its instance
    std::uint32_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    duration objective{}; ///< of the first event; zero: the answer is no stream
    bool must_run = false; ///< always admitted, and counted
    /// It isn't at the engine before on_sent().
    bool waits_for_adapter = false;
};

/// Decides which requests of all instances may be sent to one engine now. Kept
/// by the engine's owner.
class engine_gate
{
public:
    /// How the engine is known when its owner begins to count.
    enum class start_kind : std::uint8_t
    {
        established, ///< it has served for some time, under another owner
        started      ///< it has just started, and begins with the slow start
    };

    engine_gate(std::uint32_t slots, start_kind start, time_point now,
                const gate_settings& settings = {});

    struct decision
    {
        bool admitted = false;
        std::uint32_t open = 0; ///< without this request
        /// For its priority: what has begun and the window, at most the limit.
        std::uint32_t usable_slots = 0;
    };

    /// @param holder address of the instance; empty: the owner itself
    decision ask(const std::string& holder, const gate_request& request,
                 time_point now);

    /// Called when a request that waited for its adapter has been sent.
    void on_sent(const std::string& holder, std::uint64_t number,
                 time_point now);

    /// Called when the first event of an admitted request has come.
    /// @param time since the request was sent
    /// @param usual mean of the service, if known
    void on_begun(const std::string& holder, std::uint64_t number,
                  duration time, std::optional<duration> usual, time_point now);

    enum class outcome : std::uint8_t
    {
        answered,
        rejected, ///< for lack of capacity
        failed
    };

    /// Called when an admitted request has ended.
    void on_ended(const std::string& holder, std::uint64_t number, outcome how,
                  time_point now);

    /// Called when an instance tells the number of its open requests.
    void on_told(const std::string& holder, std::uint32_t open, time_point now);

    /// Begins the slow start, because the engine has started again or was
    /// silent.
    void restart(time_point now);

    /// Forgets silent instances. Call it several times a second.
    void tick(time_point now);

    /// @return open requests of all instances
    [[nodiscard]] std::uint32_t open() const;
    /// @return open requests without a first event
    [[nodiscard]] std::size_t unbegun() const;
    /// @return number of unbegun requests that are allowed
    [[nodiscard]] std::size_t window() const;
    /// @return share of the slots that may be used, 0 to 1
    [[nodiscard]] double pace() const noexcept { return pace_; }
    [[nodiscard]] bool in_slow_start() const noexcept { return pace_ < 1; }
    /// @return open requests that are allowed for a priority
    [[nodiscard]] std::uint32_t limit(std::uint32_t priority) const;

private:
    struct admission
    {
        std::uint32_t prompt_tokens = 0;
        duration objective{};
        time_point since{};
        /// Prompt tokens that waited at the engine after this request came.
        std::uint64_t backlog_tokens = 0;
        bool waits = false; ///< at the engine, for its first event
        bool waits_for_adapter = false;
    };

    struct holder
    {
        std::map<std::uint64_t, admission> admissions;
        std::uint32_t told = 0;
        time_point heard{};
        /// Admissions that the last telling lacked, and its time.
        std::size_t missing = 0;
        time_point missing_since{};
    };

    [[nodiscard]] bool fits_window(const gate_request& request) const;
    [[nodiscard]] std::uint64_t waiting_tokens() const;
    [[nodiscard]] double max_window() const;
    void learn_prompt_rate(const admission& a, duration time);
    void on_good_answer();
    /// @param since when the request was admitted that shows it
    void on_overload(time_point since, time_point now);
    void drop_missing(holder& h, time_point now);

    gate_settings settings_;
    double slots_;
    double pace_ = 1;
    double window_ = 0;
    std::uint32_t good_answers_ = 0; ///< of this round of the slow start
    std::uint32_t failures_ = 0;     ///< since the last good answer
    time_point last_window_cut_{};
    time_point last_pace_cut_{};
    double tokens_per_ms_ = 0; ///< moving average; 0: unknown
    std::map<std::string, holder, std::less<>> holders_;
};

} // namespace lovagegate::pace

#endif
