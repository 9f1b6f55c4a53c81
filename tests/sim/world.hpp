#ifndef LOVAGEGATE_TESTS_SIM_WORLD_HPP
#define LOVAGEGATE_TESTS_SIM_WORLD_HPP

#include "lovagegate/history/checker.hpp"
#include "lovagegate/node/node.hpp"
#include "tests/sim/event_queue.hpp"
#include "tests/sim/fake_platform.hpp"
#include "tests/sim/fake_target.hpp"

#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::sim {

/// Wall clock time at the start of the virtual time.
inline constexpr std::chrono::milliseconds epoch{1'700'000'000'000};

struct world_settings
{
    std::size_t instances = 3;
    std::size_t engines = 2;
    std::size_t plain_targets = 2;
    duration link = 500us;
    double loss = 0.0;      ///< share of messages between instances
    double doubled = 0.0;   ///< share of messages that arrive twice
    duration jitter{};      ///< added to messages at random: reorders them
    duration list_lag = 5s; ///< of the platform's list
    duration report_lag = 300ms;
    std::uint64_t seed = 1;
    std::size_t crash_limit = 2; ///< targets broken by one request
    node::node_settings node;
    std::ostream* recorder = nullptr; ///< takes the history, if any
};

/// What a caller sends.
struct call_plan
{
    bool completion = true;
    std::string model = "a0";
    std::string path = "/signoff";
    request_id request;
    bool idempotent = true;
    bool crashes_target = false;
    fingerprint print = 1;
    priority importance = priority::interactive;
    duration issued_ago{}; ///< how long before now its id was issued
};

/// How a call ended.
struct call_result
{
    request_outcome outcome = request_outcome::unknown;
    refusal reason = refusal::none;
};

/// Instances, targets and the platform in one process, joined by queues with
/// delay and loss. Every event goes through the history checker.
class world
{
public:
    explicit world(world_settings settings);

    // ---- the run ----
    void run_for(duration span) { queue_.run_for(span); }
    [[nodiscard]] duration now() const { return queue_.now(); }
    [[nodiscard]] const history::checker& checker() const { return checker_; }

    // ---- callers ----
    /// @return number of the call, 0 when the instance is not there
    std::uint64_t call(std::size_t instance, const call_plan& plan);
    void leave(std::uint64_t call_number);
    /// @return ended calls, by number
    [[nodiscard]] const std::map<std::uint64_t, call_result>& results() const
    {
        return results_;
    }
    /// @return calls whose instance lives and which have no outcome
    [[nodiscard]] std::size_t open_calls() const;

    // ---- what fails, and what operators do ----
    /// @return whether the number was free
    bool publish(ticket_number number, std::string text);
    bool publish_leaving(ticket_number number, std::size_t target,
                         bool leaving);
    void set_platform(platform_mode mode);
    void crash_target(std::size_t target);
    void lose_answers(std::size_t target);
    void fail_next_loads(std::size_t count) { failing_loads_ += count; }
    void kill(std::size_t instance);
    void stop(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance);
    void wake(std::size_t instance);
    /// Instances below the bound no longer reach the others.
    void partition(std::size_t bound);
    void heal();
    void skew(std::size_t instance, std::chrono::milliseconds by);
    void set_loss(double share) { settings_.loss = share; }

    /// Ends every failure: wakes, restarts, heals, and the platform is up.
    void mend();

    [[nodiscard]] bool serving(std::size_t instance) const;
    [[nodiscard]] ticket_number ticket_of(std::size_t instance) const;
    [[nodiscard]] std::size_t instances() const { return slots_.size(); }

private:
    struct open_call
    {
        std::uint64_t number = 0;
        call_plan plan;
        target_id target;
        std::uint64_t run = 0;
        std::uint32_t attempt = 0;
        request_id answer_of;
        adapter_version adapter;
    };

    struct open_read
    {
        node::platform_part part = node::platform_part::tickets;
        duration until{};
        instant asked{};
    };

    struct slot
    {
        instance_id id;
        incarnation start = 0;
        std::unique_ptr<node::node> core;
        std::chrono::milliseconds skew{};
        bool paused = false;
        bool stopping = false;
        bool ready = false;
        bool isolated = false;
        ticket_number ticket = 0;
        std::vector<node::input> inbox; ///< arrived during a pause
        std::vector<open_read> reads;   ///< watches at the platform
        std::uint64_t ticket_index = 0; ///< of the last answers
        std::uint64_t list_index = 0;
        std::map<local_id, open_call> calls;
    };

    void record(history::event_body body);
    void stage(const slot& s, history::stage now);
    void begin(slot& s);
    void end(slot& s, history::stage how);
    void list_instances();
    void review_isolation();

    void step(std::size_t instance, const node::input& input);
    void carry_out(std::size_t instance, node::outbox outputs);
    [[nodiscard]] instant instant_of(const slot& s) const;
    /// Delivers to the incarnation that is running now, after a delay.
    void deliver(std::size_t instance, duration wait, node::input input);

    void carry(std::size_t i, const node::start_attempt& o);
    void carry(std::size_t i, const node::cancel_attempt& o);
    void carry(std::size_t i, const node::finish_request& o);
    void carry(std::size_t i, const node::send_message& o);
    void carry(std::size_t i, const node::order_engine& o);
    void carry(std::size_t i, const node::poll_engine& o);
    void carry(std::size_t i, const node::read_platform& o);
    void carry(std::size_t i, const node::log_event& o);
    void carry(std::size_t i, const node::drained& o);

    void reach_target(std::size_t i, incarnation start,
                      const node::start_attempt& o);
    void attempt_over(std::size_t i, incarnation start, local_id id,
                      std::uint32_t attempt, node::attempt_end end,
                      const request_id& answer_of);
    void note_state(slot& s);
    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const;
    [[nodiscard]] std::size_t index_of(const instance_id& id) const;
    [[nodiscard]] fake_target* find(const target_id& id);
    [[nodiscard]] bool chance(double share);

    void every(duration period, event_queue::action what);
    void tick_all();
    void answer_reads();
    bool answer_read(std::size_t i, const open_read& r);
    void note_read_tickets();

    world_settings settings_;
    event_queue queue_;
    std::mt19937_64 random_;
    history::checker checker_;
    fake_platform platform_;
    std::vector<slot> slots_;
    std::vector<std::pair<target_id, std::unique_ptr<fake_target>>> targets_;
    std::map<std::uint64_t, call_result> results_;
    std::map<std::uint64_t, std::pair<std::size_t, local_id>> places_;
    std::uint64_t last_call_ = 0;
    incarnation last_start_ = 0;
    std::size_t failing_loads_ = 0;
    std::size_t partition_ = 0; ///< 0: none
    ticket_number accepted_ = 0;
    /// Notices of leaving that no instance has read yet, by ticket.
    std::map<ticket_number, std::pair<std::size_t, bool>> notices_;
    std::map<std::size_t, ticket_number> last_notice_; ///< by target
};

} // namespace lovagegate::sim

#endif
