#ifndef LOVAGEGATE_GATEWAY_CRASHING_PROMPT_PARTS_HPP
#define LOVAGEGATE_GATEWAY_CRASHING_PROMPT_PARTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/crashes/crash_traits.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagegate::gateway {

/// What became of a part that another instance has blocked.
enum class peer_block : std::uint8_t
{
    added,
    known,  ///< blocked here before
    refuted ///< an engine has answered a request with it since its first crash
};

/// Finds the shared parts of prompts that crash each engine which begins to
/// answer them. Requests that share such a part are blocked, whatever else they
/// hold.
///
/// A part is suspected if a request with it had no answer yet when its engine
/// crashed. It is blocked after several crashes under different requests,
/// unless an engine answers a request with it in between. A part that was
/// answered not long before needs more crashes, and must be the only one in so
/// many. Crashes at almost the same time count once, since a fault of many
/// engines also hits popular parts at all of them. A crash that a blocked part
/// explains is held against no other part.
///
/// A block is in doubt at first: the engines may have been lost for another
/// reason, and instances that know of other crashes may blame other parts. One
/// request at a time may try the part. An answer unblocks it, a further crash
/// ends the doubt.
class crashing_prompt_parts
{
public:
    /// @return fingerprint of a part, the same on all instances
    [[nodiscard]] static fingerprint
    fingerprint_of(std::string_view part) noexcept;

    /// Called when a connection to an engine broke before the engine answered a
    /// request.
    /// @param run of the engine, see engine_run()
    /// @return parts that are blocked from now on
    std::vector<fingerprint>
    on_connection_broken(const crashes::crash_traits& request,
                         std::string_view run, time_point now);

    /// Called when a run of an engine has ended.
    /// @return parts that are blocked from now on
    std::vector<fingerprint> on_run_ended(std::string_view run, time_point now);

    /// What follows from an answer.
    struct answer_effect
    {
        /// Answered parts that were suspected since their last answer, so that
        /// other instances may suspect them too.
        std::vector<fingerprint> suspected;
        /// Parts that are blocked from now on, since they are the only ones
        /// left that may have caused crashes.
        std::vector<fingerprint> blocked;
    };

    /// Called when an engine has answered a request with these parts, so that
    /// they didn't crash engines until then.
    /// @param at time of the answer; later crashes still count
    answer_effect on_answer(std::span<const fingerprint> parts, time_point at,
                            time_point now);

    /// Called when a run has ended under a request that is blocked itself. This
    /// is weaker evidence against the parts of its prompt, since they are the
    /// cause only if other such requests crash engines too.
    void on_run_ended_by_blocked_request(std::string_view run);

    /// A part and the crashes that are ascribed to it.
    struct blocked_part
    {
        fingerprint part = 0;
        time_point first_crash{};
        time_point last_crash{};
        bool in_doubt = false;
        std::uint32_t trials = 0; ///< requests that have tried the part
        time_point last_trial{};
    };

    /// Called when another instance has blocked a part.
    peer_block on_blocked_by_peer(const blocked_part& block, time_point now);

    /// @return time of the latest answer to a request with the part, if any
    [[nodiscard]] std::optional<time_point> last_answer(fingerprint part) const;

    /// @return whether broken connections to this run were reported, but not
    ///         yet whether the run has ended
    [[nodiscard]] bool is_end_awaited(std::string_view run) const;

    /// @return the first of the parts that is blocked
    [[nodiscard]] std::optional<fingerprint>
    blocked_among(std::span<const fingerprint> parts, time_point now) const;

    /// @return the blocked parts with the latest crashes, at most `count`
    [[nodiscard]] std::vector<blocked_part> blocked(std::size_t count,
                                                    time_point now) const;

    /// @return time from which a request may try the part; nothing if it isn't
    ///         blocked in doubt
    [[nodiscard]] std::optional<time_point> trial_due(fingerprint part,
                                                      time_point now) const;

    /// Called when a request that tries a blocked part is sent.
    /// @return the block with this trial
    blocked_part on_trial(fingerprint part, time_point now);

    /// Erases expired records.
    void expire(time_point now);

private:
    /// Requests with one part that waited for an answer on one engine.
    struct broken_requests
    {
        time_point at{}; ///< when the latest of their connections broke
        std::vector<fingerprint> requests; ///< at most two
        bool by_blocked_request = false;
    };

    struct engine_run_evidence
    {
        time_point last_break{}; ///< latest broken connection
        std::optional<time_point> ended_at;
        std::map<fingerprint, broken_requests> parts;
        bool explained = false; ///< a blocked part is the cause of its end
        bool by_blocked_request = false;
    };

    using run_map = std::map<std::string, engine_run_evidence, std::less<>>;

    struct suspect
    {
        /// Crashes that no other blocked part explains, by run.
        std::map<std::string, broken_requests, std::less<>> crashes;
        time_point last_seen{};   ///< latest broken connection
        time_point first_crash{}; ///< of those that led to the block
        time_point last_crash{};  ///< latest crash, if blocked
        bool blocked = false;
        bool in_doubt = false; ///< if blocked: requests may try the part
        time_point blocked_at{};
        std::uint32_t trials = 0; ///< since it was blocked
        time_point last_trial{};
    };

    /// @return null if there are too many runs
    run_map::value_type* find_or_add_run(std::string_view run, time_point now);
    /// Drops a part that was in no crash if there are too many suspects.
    /// @return whether the part can be added
    bool make_room_for(fingerprint part);
    void add_crash(fingerprint part, const broken_requests& broken,
                   run_map::value_type& run);
    /// Holds a crash against no other part than its cause.
    void explain(run_map::value_type& run, fingerprint cause);
    void explain_crashes_of(fingerprint part);
    /// Blocks those parts of the run that are the likely causes of crashes.
    std::vector<fingerprint> block_likely_causes(const engine_run_evidence& run,
                                                 time_point now);
    /// What the crashes of a part amount to.
    struct crash_summary
    {
        std::size_t all = 0; ///< with those under requests that are blocked
        std::size_t crashes = 0;
        std::size_t separate = 0; ///< those not close together
        std::size_t requests = 0; ///< in all crashes, counted up to a limit
    };

    [[nodiscard]] static crash_summary summarize(const suspect& s);
    /// @return the parts of the run that are to be blocked first
    [[nodiscard]] std::vector<fingerprint>
    likely_causes(const engine_run_evidence& run, time_point now) const;
    /// @return the parts of the run that are in many crashes, even if these are
    ///         close together
    [[nodiscard]] std::vector<fingerprint>
    parts_of_many_crashes(const engine_run_evidence& run, time_point now) const;
    void block_all(std::span<const fingerprint> parts, time_point now);
    [[nodiscard]] static blocked_part describe(fingerprint part,
                                               const suspect& s);
    void remember_answer(fingerprint part, time_point at);
    [[nodiscard]] bool was_answered(fingerprint part, time_point now) const;
    [[nodiscard]] static bool is_blocked(const suspect& s, time_point now);

    run_map runs_;
    std::unordered_map<fingerprint, suspect> suspects_;
    std::unordered_map<fingerprint, time_point> answers_; ///< latest, by part
};

} // namespace lovagegate::gateway

#endif
