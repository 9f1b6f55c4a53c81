#ifndef LOVAGEGATE_TESTS_SIM_FAKE_TARGET_HPP
#define LOVAGEGATE_TESTS_SIM_FAKE_TARGET_HPP

#include "lovagegate/history/event.hpp"
#include "tests/sim/event_queue.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::sim {

using record_function = std::function<void(history::event_body)>;

struct target_settings
{
    std::size_t slots = 2;
    bool checks_fencing = true;
    duration first_token = 30ms;
    duration run = 400ms;
    duration load = 250ms;
    duration restart = 600ms;
};

/// An engine, or a plain service when requests name no adapter.
class fake_target
{
public:
    using end_function =
        std::function<void(node::attempt_end, const request_id& answer_of)>;
    using order_function = std::function<void(node::order_end, fencing_token)>;

    fake_target(target_id id, target_settings settings, event_queue& queue,
                record_function record);

    /// Runs a request.
    /// @param crashes the request breaks the target
    /// @param progress called at the first token
    /// @param end called once, with the request whose answer it is
    /// @return number of the run, 0 if it did not start
    std::uint64_t run(const request_id& request, const adapter_version& adapter,
                      fingerprint print, bool crashes,
                      std::function<void()> progress, end_function end);

    /// The connection of the run closed at the other side.
    void abandon(std::uint64_t run_number);

    /// Breaks the connection of every run after all started ones finished
    /// at the target: the work is done, the answers are lost.
    void lose_answers() { losing_ = !runs_.empty(); }

    void order(const node::order_engine& o, bool fails, order_function end);

    void crash(fingerprint print);

    [[nodiscard]] node::engine_report report() const;
    [[nodiscard]] bool up() const noexcept { return up_; }
    [[nodiscard]] bool busy() const noexcept { return !runs_.empty(); }

private:
    struct open_run
    {
        request_id request;
        adapter_version adapter;
        end_function end;
    };

    void complete(std::uint64_t run_number, incarnation start);
    void load(const node::order_engine& o, bool fails, order_function end);
    void unload(const node::order_engine& o, const order_function& end);

    target_id id_;
    target_settings settings_;
    event_queue& queue_;
    record_function record_;
    incarnation start_ = 1;
    bool up_ = true;
    bool losing_ = false;
    fencing_token token_ = 0;
    std::uint64_t last_run_ = 0;
    std::set<adapter_version> resident_;
    std::map<adapter_version, std::vector<order_function>> loading_;
    std::map<std::uint64_t, open_run> runs_;
};

} // namespace lovagegate::sim

#endif
