#ifndef LOVAGEGATE_GATEWAY_CRASH_REPORTS_HPP
#define LOVAGEGATE_GATEWAY_CRASH_REPORTS_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/crashes/crash_log.hpp"
#include "lovagegate/gateway/crash_suspects.hpp"
#include "lovagegate/gateway/crashing_prompt_parts.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// What is known of a request's crashes.
enum class crash_verdict : std::uint8_t
{
    harmless,
    crashing_request,
    crashing_prompt_part,
    /// A part of its prompt is blocked in doubt, and this request may try it.
    may_try_prompt_part
};

/// Evidence about requests that crash engines, kept the same on all instances.
class crash_reports
{
public:
    struct callbacks
    {
        /// Sends a message to all other instances.
        std::function<void(const peer_message&)> send_to_all;
        /// Sends a message to one instance.
        std::function<void(const std::string& address, const peer_message&)>
            send_to;
        /// Sends a message to a few instances, chosen at random.
        std::function<void(const peer_message&)> send_to_some;
        /// Called when parts were blocked: requests with them may be waiting at
        /// engines.
        std::function<void()> on_blocked;
        /// @return position of this instance among those that may try blocked
        ///         parts, the same order at all instances
        std::function<std::size_t()> trial_rank;
    };

    crash_reports(counters& counts, callbacks c);

    /// Called when a connection to an engine broke while a request ran on it.
    /// The others are told with the next send_notices().
    /// @param run of the engine, see engine_run()
    /// @param answer_begun whether the engine had begun to answer
    void on_connection_broken(const crashes::crash_traits& request,
                              std::string_view run, bool answer_begun,
                              time_point now);

    /// Called when the store shows that a run of an engine has ended.
    void on_run_ended(std::string_view run, time_point now);

    /// Called when nothing listens at an engine's address any more. The others
    /// are told if the end of the run was awaited, since they may not connect.
    void on_connection_refused(std::string_view run, time_point now);

    /// Called when an engine has begun to answer a request and lives on.
    void on_answer_begun(const crashes::crash_traits& request, time_point now);

    /// Called when a request was answered at once.
    void on_answered(const crashes::crash_traits& request, time_point now);

    /// Called at the end of an answer of which on_answer_begun() was told. It
    /// says nothing new of the prompt: the engine read it before the answer
    /// began.
    void on_begun_answer_ended(const crashes::crash_traits& request,
                               time_point now);

    void on_message(const crash_notice& notice, time_point now);
    void on_message(const answered_prompt_parts& answered, time_point now);
    /// @param from address of the sender
    void on_message(const std::string& from,
                    const blocked_prompt_parts& blocked, time_point now);
    /// Sends the instance what it lacks, and asks it for what this one lacks.
    /// @param from address of the sender
    void on_message(const std::string& from, const crash_digest& digest,
                    time_point now);

    /// Asks an instance for all evidence, since this one may have missed some.
    void ask(const std::string& address, time_point now);

    /// @return whether the request may be sent to an engine
    [[nodiscard]] crash_verdict verdict(const crashes::crash_traits& request,
                                        time_point now) const;

    /// Called when a request that may try a part of its prompt is sent. The
    /// others are told, so that none of them tries the part meanwhile.
    /// @param attempt id of the request, for the log
    void begin_trial(const crashes::crash_traits& request,
                     std::string_view attempt, time_point now);

    /// @return the blocked one of these parts, if any
    [[nodiscard]] std::optional<fingerprint>
    blocked_among(std::span<const fingerprint> parts, time_point now) const
    {
        return prompt_parts_.blocked_among(parts, now);
    }

    /// @return number of blocked parts
    [[nodiscard]] std::size_t blocked_parts(time_point now) const;

    /// Tells the other instances of broken connections.
    void send_notices();

    /// Repeats the blocked parts to one instance and names the crashes of which
    /// there is evidence, in case messages were lost.
    void repeat(const std::string& address, time_point now);

    /// Erases expired records.
    void expire(time_point now);

private:
    /// Sends evidence that an instance lacks.
    void send_crashes(const std::string& address,
                      std::span<const fingerprint> known, time_point now);
    /// Sends the answers that clear what the crashes would block.
    void send_answers(const std::string& address,
                      std::span<const crashes::crash_record* const> crashes,
                      time_point now);
    void record_break(const crashes::crash_traits& request,
                      std::string_view run, time_point now);
    /// @return those of the parts that may be suspected elsewhere
    std::vector<fingerprint> record_answer(std::span<const fingerprint> parts,
                                           time_point at, time_point now);
    /// @param evidence the last run that crashed, or the instance that told it
    void announce_blocked(std::span<const fingerprint> parts,
                          std::string_view evidence, time_point now);
    /// @return the blocked part if there is a single one, which is in doubt,
    ///         and it is this instance's turn to try it
    [[nodiscard]] std::optional<fingerprint>
    part_to_try(const crashes::crash_traits& request, time_point now) const;
    [[nodiscard]] blocked_prompt_parts
    make_message(std::span<const crashing_prompt_parts::blocked_part> blocked,
                 time_point now) const;

    counters& counts_;
    callbacks callbacks_;
    crashes::crash_log crashes_;
    crash_suspects requests_;
    crashing_prompt_parts prompt_parts_;
    std::map<std::string, crash_notice, std::less<>> notices_; ///< by run
    /// Runs that this instance found to have ended, and when; nobody has
    /// reported broken connections yet.
    std::map<std::string, time_point, std::less<>> refused_runs_;
};

} // namespace lovagegate::gateway

#endif
