#ifndef LOVAGEGATE_GATEWAY_CRASHING_PROMPT_PARTS_HPP
#define LOVAGEGATE_GATEWAY_CRASHING_PROMPT_PARTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/crash_traits.hpp"

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
    refuted ///< an engine has answered a request with it since its last crash
};

/// Finds the shared parts of prompts that crash each engine which begins to
/// answer them. Requests that share such a part are blocked, whatever else they
/// hold.
///
/// A part is suspected if a request with it had no answer yet when its engine
/// crashed. It is blocked after several crashes, unless an engine answers a
/// request with it in between. Crashes at almost the same time count once,
/// since a fault of many engines also hits popular parts at all of them. A
/// crash that a blocked part explains is held against no other part.
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
    std::vector<fingerprint> on_connection_broken(const crash_traits& request,
                                                  std::string_view run,
                                                  time_point now);

    /// Called when a run of an engine has ended.
    /// @return parts that are blocked from now on
    std::vector<fingerprint> on_run_ended(std::string_view run, time_point now);

    /// Called when an engine has answered a request with these parts, so that
    /// they don't crash engines.
    /// @return those of the parts that were suspected since the last answer, so
    ///         that other instances may suspect them too
    std::vector<fingerprint> on_answer(std::span<const fingerprint> parts,
                                       time_point now);

    /// Called when another instance has blocked a part.
    /// @param last_crash latest crash that the instance ascribes to it
    peer_block on_blocked_by_peer(fingerprint part, time_point last_crash,
                                  time_point now);

    /// @return whether broken connections to this run were reported, but not
    ///         yet whether the run has ended
    [[nodiscard]] bool is_end_awaited(std::string_view run) const;

    /// @return the first of the parts that is blocked
    [[nodiscard]] std::optional<fingerprint>
    blocked_among(std::span<const fingerprint> parts, time_point now) const;

    struct blocked_part
    {
        fingerprint part = 0;
        time_point last_crash{};
    };

    /// @return the blocked parts with the latest crashes, at most `count`
    [[nodiscard]] std::vector<blocked_part> blocked(std::size_t count,
                                                    time_point now) const;

    /// Erases expired records.
    void expire(time_point now);

private:
    /// Requests with one part that waited for an answer on one engine.
    struct broken_requests
    {
        time_point at{}; ///< when the latest of their connections broke
        std::vector<fingerprint> requests; ///< at most two
    };

    struct engine_run_evidence
    {
        time_point created_at{};
        std::optional<time_point> ended_at;
        std::map<fingerprint, broken_requests> parts;
        bool explained = false; ///< a blocked part was on the engine
    };

    using run_map = std::map<std::string, engine_run_evidence, std::less<>>;

    struct suspect
    {
        /// Crashes that no blocked part explains, by run.
        std::map<std::string, broken_requests, std::less<>> crashes;
        time_point last_seen{};  ///< latest broken connection
        time_point last_crash{}; ///< latest crash, if blocked
        /// Latest answer since it was suspected.
        std::optional<time_point> answered_at;
        bool blocked = false;
    };

    run_map::value_type& find_or_add_run(std::string_view run, time_point now);
    void add_crash(fingerprint part, const broken_requests& broken,
                   run_map::value_type& run);
    void explain(run_map::value_type& run);
    void explain_crashes_of(suspect& s);
    /// Blocks those parts of the run that are the likely causes of crashes.
    std::vector<fingerprint>
    block_likely_causes(const engine_run_evidence& run);
    [[nodiscard]] static bool is_likely_cause(const suspect& s);
    [[nodiscard]] static bool is_blocked(const suspect& s, time_point now);

    run_map runs_;
    std::unordered_map<fingerprint, suspect> suspects_;
};

} // namespace lovagegate::gateway

#endif
