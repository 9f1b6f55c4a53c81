#ifndef LOVAGEGATE_GATEWAY_FORWARDING_HPP
#define LOVAGEGATE_GATEWAY_FORWARDING_HPP

#include "lovagegate/gateway/adapter_coordinator.hpp"
#include "lovagegate/gateway/caller_connection.hpp"
#include "lovagegate/gateway/caller_request.hpp"
#include "lovagegate/gateway/discarded_body.hpp"
#include "lovagegate/gateway/event_splitter.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/liveness_probe.hpp"
#include "lovagegate/gateway/target_pool.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// What all requests of one instance share.
struct forward_context
{
    net::event_loop& loop;
    gateway_state& state;
    target_pool& pool;
    adapter_coordinator& adapters;
    std::mt19937_64& random;
    /// Tells the other instances that an engine broke off under a request.
    std::function<void(const crash_notice&)> on_crash;
    /// Nothing listens at the address of a target.
    std::function<void(const std::string& target)> on_refused;
    /// A request has ended; it is destroyed from the loop.
    std::function<void(class forwarding&)> on_done;
    /// First byte and whole answer, for the histograms.
    std::function<void(const route&, duration first, duration whole)> on_times;
};

/// One request of a caller, from its last byte to the end of its answer:
/// chooses targets, sends, tries again where that is allowed, and passes the
/// answer on.
class forwarding final : private call_handler
{
public:
    forwarding(forward_context& context, caller_ptr caller,
               caller_message message);
    ~forwarding();
    forwarding(const forwarding&) = delete;
    forwarding& operator=(const forwarding&) = delete;

    /// Begins; the request may end at once.
    void start();

    /// Gives the caller a final answer now, since the instance ends.
    void give_up();

    /// @return whether a target may be at work on it
    [[nodiscard]] bool is_open() const noexcept { return !done_; }

private:
    void on_answer_head(net::message_head& head) override;
    bool on_answer_body(std::string_view part) override;
    void on_answer_end() override;
    void on_call_failed(call_failure f) override;

    /// Waits for the first configuration, then tries the first target.
    void begin();
    bool accept();
    [[nodiscard]] const std::string& pick_service() const;
    void try_next();
    /// @param was_absent a send came back since the adapter was not there yet
    void wait_for_adapter(const std::string& target, bool was_absent);
    void send(const std::string& target);
    void leave_target();
    void on_rejected();
    void retry_or(int status, std::string_view reason);
    [[nodiscard]] bool may_run_again() const;
    /// Sets what becomes of an answer by its head.
    void judge_answer(const net::message_head& head);
    void deliver_head(const net::message_head& head, bool whole);
    /// @return false if the target was left
    bool deliver_events(std::string_view data);
    void deliver_whole_events(std::string_view whole);
    /// Stops reading from the target until the caller has read.
    /// @param unsent_limit bytes for the caller from which on that is done
    void pause_target(std::size_t unsent_limit);
    void deliver_whole();
    [[nodiscard]] bool is_discarded() const noexcept
    {
        return rejected_ || discarding_;
    }
    /// An answer that is discarded has ended, or is not read on.
    void on_discarded();
    void note_gap(time_point now);
    void on_broken(call_failure f);
    /// A target that may still have gone on was left: its answer must not end
    /// for want of another one.
    /// @return whether the request looks for a target again, a little later
    bool look_again();
    void refuse(std::string_view reason);
    void fail(int status, std::string_view reason);
    void cut(std::string_view reason);
    void finish(std::string_view outcome);
    void arm_timer();
    void on_timer();
    void on_silence(time_point now);
    /// Asks whether the target of a begun stream lives, once for each silence.
    void ask_for_life(time_point now);
    /// @return most connections to the target
    [[nodiscard]] std::size_t connection_limit() const;
    /// Leaves a silent target for another one, if a repeat may be sent.
    void leave_silent(time_point now);
    /// @return whether another target would serve at once
    [[nodiscard]] bool has_alternative(time_point now);
    [[nodiscard]] placement_request placement_needs(time_point now) const;
    void log_answer() const;
    void watch_caller();
    [[nodiscard]] bool is_stream() const noexcept;
    [[nodiscard]] bool may_repeat() const noexcept;
    [[nodiscard]] duration elapsed() const;
    void log(std::string_view event, std::string_view reason) const;

    forward_context& context_;
    caller_ptr caller_;
    caller_message message_;
    request_facts facts_;
    std::shared_ptr<const route> route_;
    std::string service_;
    fingerprint fingerprint_ = 0;
    time_point deadline_{};     ///< of the route or the caller
    time_point silent_since_{}; ///< last byte from the target, or the send
    net::timer_id timer_ = 0;
    std::uint64_t ask_ = 0;        ///< open question for an adapter
    std::string target_;           ///< that has the request now
    std::string last_misdirected_; ///< target that lacked the adapter
    std::string adapter_;          ///< MODEL/NAME, empty without one
    std::unique_ptr<target_call> call_;
    std::unique_ptr<liveness_probe> probe_;
    std::unique_ptr<discarded_body> discarded_; ///< of an answer that has begun
    std::vector<std::string> excluded_;
    event_splitter events_;
    net::message_head answer_;
    answer_facts answer_facts_;
    std::string buffer_;            ///< an answer that may still be replaced
    std::uint32_t early_sends_ = 0; ///< before their adapter was loaded
    std::uint32_t sends_ = 0;       ///< requests that may have reached a target
    std::uint32_t runs_ = 0;        ///< of those, not known as not run
    double load_at_choice_ = 0;
    bool at_target_ = false;  ///< counted as open at target_
    bool expected_ = false;   ///< the adapter was not reported yet
    bool rejected_ = false;   ///< the answer says that it has not run
    bool discarding_ = false; ///< a failure that is tried again
    bool head_sent_ = false;  ///< the caller has got a head
    bool resuming_ = false;   ///< the answer continues an earlier one
    bool streaming_out_ = false;
    bool paused_ = false;
    bool left_living_ = false; ///< a target was left since it was silent
    bool repeat_paid_ = false; ///< the retry budget was asked for the next send
    bool done_ = false;
    duration first_byte_{};  ///< since the request was whole
    duration sent_after_{};  ///< first send, since the request was whole
    duration longest_gap_{}; ///< between two deliveries of events
    time_point last_event_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lovagegate::gateway

#endif
