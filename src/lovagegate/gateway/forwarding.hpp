#ifndef LOVAGEGATE_GATEWAY_FORWARDING_HPP
#define LOVAGEGATE_GATEWAY_FORWARDING_HPP

#include "lovagegate/access/authentication.hpp"
#include "lovagegate/capacity/request_permit.hpp"
#include "lovagegate/gateway/adapter_coordinator.hpp"
#include "lovagegate/gateway/answer_backpressure.hpp"
#include "lovagegate/gateway/caller_connection.hpp"
#include "lovagegate/gateway/caller_request.hpp"
#include "lovagegate/gateway/crash_reports.hpp"
#include "lovagegate/gateway/discarded_body.hpp"
#include "lovagegate/gateway/event_splitter.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/liveness_probe.hpp"
#include "lovagegate/gateway/target_pool.hpp"
#include "lovagegate/pace/request_admission.hpp"
#include "lovagegate/quota/fleet_quota.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Largest event of a stream, which is held until it is complete. A stream with
/// a larger one is malformed.
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

/// Dependencies and callbacks shared by all requests of one instance.
struct forwarding_context
{
    net::event_loop& loop;
    gateway_state& state;
    target_pool& pool;
    adapter_coordinator& adapters;
    std::mt19937_64& random;
    crash_reports& crashes;
    answer_memory& memory;
    quota::fleet_quota& quota;
    capacity::service_permits& permits;
    pace::engine_admission& admission;
    /// Called when `crashes` has notices to send.
    std::function<void()> on_crash_notice;
    /// Called when a target's address refuses the connection (nothing listens
    /// there).
    std::function<void(const std::string& target)> on_connect_refused;
    /// Tells all other instances of a target's limit.
    std::function<void(const limit_notice&)> send_limit_notice;
    /// Called when a request has ended; the owner must destroy it later, from
    /// the event loop.
    std::function<void(class forwarding&)> on_done;
    /// Reports the time to the first byte and to the end of an answer, for the
    /// histograms.
    std::function<void(const route&, duration first, duration whole)>
        on_answer_times;
};

/// Forwards one request of a caller, from its last byte to the end of its
/// answer: chooses targets, sends the request, retries where a retry is
/// allowed, and passes the answer on to the caller.
class forwarding final : private call_handler
{
public:
    forwarding(forwarding_context& context, caller_ptr caller,
               caller_message message);
    ~forwarding();
    forwarding(const forwarding&) = delete;
    forwarding& operator=(const forwarding&) = delete;

    /// Starts processing; the request may end before this returns.
    void start();

    /// Sends the caller a final answer immediately because the instance shuts
    /// down.
    void give_up();

    /// Ends a request that waits for an answer if it is known to crash engines.
    void reconsider();

    /// @return whether the request has not ended yet, so that a target may be
    ///         processing it
    [[nodiscard]] bool is_open() const noexcept { return !done_; }

private:
    void on_answer_head(net::message_head& head) override;
    bool on_answer_body(std::string_view part) override;
    void on_answer_end() override;
    void on_call_failed(call_failure f) override;

    /// Waits for the first configuration, then sends to the first target.
    void wait_for_configuration();
    bool admit();
    /// Finds the request's workspace by its key.
    /// @return whether the request may be served
    bool authenticate();
    /// Takes the request's tokens from the limit of its workspace.
    /// @return false if the request was refused for lack of them
    bool take_tokens();
    /// Answers a request that crashes engines.
    /// @return whether the request has ended
    bool reject_if_crashing(time_point now);
    /// Logs which part of the prompt is blocked.
    void log_blocked_part(time_point now) const;
    /// Called when enough of an answer has arrived to show that the request
    /// doesn't crash its engine.
    void on_answer_begun();
    [[nodiscard]] const std::string& choose_service() const;
    void try_next_target();
    /// @return whether the request waits for a permit of its service
    bool wait_for_permit(time_point now);
    void on_permit_decided();
    /// Asks the owner of the chosen engine to admit the request.
    void ask_owner(const placement_choice& choice);
    void on_admission(pace::admission_step step,
                      const placement_choice& choice);
    void go_to(const placement_choice& choice);
    /// @param was_missing the target rejected an earlier send because the
    ///         adapter was not loaded yet
    void wait_for_adapter(const std::string& target, bool was_missing);
    void send(const std::string& target);
    /// @return whether the retry budget allows one more send
    bool consume_retry(time_point now);
    void release_target();
    /// @return how the run at the target ends that is about to be released
    [[nodiscard]] permit_outcome run_outcome() const;
    void on_rejected();
    /// Called when it is certain that the target has not run the request.
    void on_not_run();
    void retry_or_fail(int status, std::string_view reason);
    [[nodiscard]] bool may_run_again() const;
    /// @return whether the request was sent to as many targets as its route
    ///         allows
    [[nodiscard]] bool is_at_target_limit() const;
    /// @return targets that the request may be sent to; at the route's limit,
    ///         only those that may have run it
    [[nodiscard]] std::vector<const target_state*>
    candidates(time_point now) const;
    /// Acts on what the target says of its own availability in an answer.
    void apply_notices(const net::message_head& head);
    void on_leaving_notice(time_point now);
    void on_pause(duration pause, time_point now);
    /// Called with the limit that the target's answer names, if any.
    void on_limit(std::optional<double> per_second, time_point now);
    /// @return whether the limit of a target, if any, lets this instance send
    ///         it a request now
    [[nodiscard]] bool is_allowed(const target_state& t) const;
    /// @return whether the instance stops too soon for a run of the request
    [[nodiscard]] bool is_too_late_to_run(time_point now) const;
    /// @return why no target may be chosen
    [[nodiscard]] std::string_view no_target_reason(time_point now) const;
    /// Decides by its head whether an answer is rejected, discarded or
    /// forwarded.
    void classify_answer(const net::message_head& head);
    /// @return whether the answer is of the kind that was begun towards the
    ///         caller, and not an error of the target that should resume it
    [[nodiscard]] bool continues_answer(const net::message_head& head) const;
    void deliver_head(const net::message_head& head, bool whole);
    /// @return false if the call to the target was destroyed
    bool deliver_events(std::string_view data);
    void deliver_whole_events(std::string_view whole);
    /// Forwards comments and empty lines, those before the first event with
    /// that event, since until then another target may answer instead.
    void deliver_comments(std::string_view whole);
    void deliver_buffered_answer();
    [[nodiscard]] bool is_discarded() const noexcept
    {
        return rejected_ || discarding_;
    }
    /// Called when a discarded answer has ended or is not read any further.
    void on_discarded();
    void record_event_gap(time_point now);
    void on_interrupted(call_failure f);
    /// Reports that the connection to the target broke, which may mean that the
    /// target crashed.
    void report_broken_connection();
    /// @return whether a complete stream may end where its engine crashed: it
    ///         ended with its connection before the engine has shown that it
    ///         lives
    [[nodiscard]] bool may_have_been_cut() const;
    /// Retries after a delay if a target was abandoned only because it was
    /// silent, since its answer might still have completed, or if a stream has
    /// begun: neither may fail merely because no other target is available or
    /// the retry budget is used up for the moment.
    /// @return whether a retry was scheduled
    bool retry_after_pause();
    void refuse(std::string_view reason);
    /// @return Retry-After for a refusal
    [[nodiscard]] duration retry_after(time_point now);
    [[nodiscard]] duration random_up_to(duration longest);
    void fail(int status, std::string_view reason);
    void abort_answer(std::string_view reason);
    void finish(std::string_view outcome);
    void arm_timer();
    void on_timer();
    void check_silence(time_point now);
    /// @return time until which the request waits for an adapter slot
    [[nodiscard]] time_point adapter_wait_end() const;
    [[nodiscard]] bool is_first_event_overdue(time_point now) const;
    /// Probes whether the engine of a silent request is alive, once for each
    /// period of silence.
    void probe_target(time_point now);
    /// @param asked time of the probe
    void on_probed(time_point asked, probe_result result);
    /// @return the maximum number of connections to the target
    [[nodiscard]] std::size_t connection_limit() const;
    /// Abandons a silent target for another one if the retry budget allows it.
    void abandon_silent_target(time_point now);
    /// @return whether another target could serve the request without waiting
    [[nodiscard]] bool has_alternative(time_point now);
    [[nodiscard]] placement_request
    make_placement_request(time_point now) const;
    void log_answer() const;
    void watch_caller();
    [[nodiscard]] bool is_stream() const noexcept;
    [[nodiscard]] bool may_repeat() const noexcept;
    [[nodiscard]] duration elapsed() const;
    void log(std::string_view event, std::string_view reason) const;

    forwarding_context& context_;
    caller_ptr caller_;
    caller_message message_;
    request_facts facts_;
    std::shared_ptr<const route> route_;
    access::caller_identity identity_; ///< set when the request is admitted
    std::string service_;
    crashes::crash_traits traits_;
    time_point deadline_{}; ///< earlier of route timeout and caller's deadline
    time_point sent_at_{};
    /// Last progress of the target: a complete event of a stream, a byte of
    /// another answer, the send, or a probe that showed that the engine lives.
    time_point silent_since_{};
    time_point last_byte_at_{}; ///< last byte of a body from any target
    duration retry_delay_;      ///< before all targets may be chosen again
    time_point next_probe_{};   ///< the target is not probed before
    net::timer_id timer_ = 0;
    std::uint64_t adapter_request_id_ = 0; ///< pending adapter request, 0: none
    std::string target_;                   ///< target that has the request
    std::int64_t target_started_ms_ = 0;   ///< start of the target, when sent
    std::string last_misdirected_; ///< last target that lacked the adapter
    std::string adapter_;          ///< MODEL/NAME; empty without an adapter
    std::unique_ptr<target_call> call_;
    std::unique_ptr<liveness_probe> probe_;
    std::unique_ptr<discarded_body>
        discarded_; ///< bounds the reading of a discarded answer
    std::vector<std::string> excluded_;
    std::vector<std::string> run_targets_; ///< targets that may have run it
    event_splitter splitter_;
    net::message_head answer_;
    answer_facts answer_facts_;
    std::string buffer_; ///< answer that can still be replaced by a retry
    answer_backpressure backpressure_;
    capacity::request_permit permit_;
    pace::request_admission admission_;
    std::uint32_t early_sends_ =
        0;                    ///< rejected sends before the adapter was loaded
    std::uint32_t sends_ = 0; ///< requests that may have reached a target
    std::uint32_t runs_ = 0;  ///< sends not known to be "not run"
    std::uint64_t events_before_send_ = 0;
    bool answer_begun_ = false; ///< the target answers and has not crashed
    bool is_trial_ = false;     ///< it was sent to try a blocked prompt part
    double target_load_when_chosen_ = 0;
    bool at_target_ = false;    ///< counted as an open request at target_
    bool is_at_engine_ = false; ///< the target serves reports
    bool adapter_expected_ =
        false; ///< the engine has not reported the adapter yet
    bool new_run_target_ =
        false;                ///< the target was not among run_targets_ before
    bool rejected_ = false;   ///< the answer says that the request was not run
    bool discarding_ = false; ///< the answer is a failure that is not forwarded
    bool head_sent_ = false;  ///< the answer's head was sent to the caller
    /// Kind of the answer whose head was sent to the caller.
    struct
    {
        int status = 0;
        bool is_event_stream = false;
    } begun_answer_;
    bool resuming_ = false; ///< the answer continues an earlier one
    bool forwarding_events_ = false;
    bool abandoned_silent_target_ =
        false; ///< a target was left because it was silent
    bool retry_reserved_ =
        false; ///< the next send is already charged to the retry budget
    bool ending_ = false; ///< the instance shuts down
    bool done_ = false;
    bool holds_tokens_ = false;     ///< counted towards its workspace's limit
    duration time_to_first_byte_{}; ///< since the whole request was received
    duration time_to_first_send_{}; ///< since the whole request was received
    duration longest_event_gap_{};  ///< between two deliveries of events
    time_point last_event_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lovagegate::gateway

#endif
