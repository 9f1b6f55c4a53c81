#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";
/// Time for which somebody else orders the engine.
constexpr duration others_order_for = 3s;

/// An engine that accepts orders of an instance that the gateway doesn't know
/// for a while, and then only the gateway's.
class shared_engine
{
public:
    script answer(const seen_request& r)
    {
        const std::lock_guard lock(mutex_);
        const time_point now = net::event_loop::now().mono;
        if (is_report(r)) {
            if (now - start_ < others_order_for) {
                ++accepted_;
                last_foreign_ = now;
            }
            return report_answer(orders_.empty() ? R"(["a0@1"])"
                                                 : R"(["a0@1","a1@1"])",
                                 accepted_);
        }
        if (is_order(r)) {
            orders_.push_back(r.body);
            first_order_ = orders_.size() == 1 ? now : first_order_;
            ++accepted_;
            return {{whole_answer(202, {}, ""), {}, then::go_on}};
        }
        return asks_for(r, "a0") || !orders_.empty()
                   ? signed_answer(r, 200, "fine")
                   : misdirected(r);
    }

    [[nodiscard]] std::vector<std::string> orders() const
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }

    /// @return time from the last order of others to the gateway's first one
    [[nodiscard]] duration turn() const
    {
        const std::lock_guard lock(mutex_);
        return first_order_ - last_foreign_;
    }

private:
    mutable std::mutex mutex_;
    time_point start_ = net::event_loop::now().mono;
    time_point last_foreign_{};
    time_point first_order_{};
    std::uint64_t accepted_ = 5;
    std::vector<std::string> orders_;
};

} // namespace

TEST_CASE("an instance whose seeds are down orders an engine only when nobody "
          "else has for a lease, and reads its settings meanwhile",
          "[gateway]")
{
    // It ordered engines after a lease, beside owners that it didn't know, and
    // learnt of other seeds only at a signal.
    shared_engine engine;
    std::atomic<int> settings_read{0};
    gateway_limits limits;
    limits.seeds = {{"127.0.0.9", 9}};
    limits.on_reload = [&] { ++settings_read; };
    site s(
        {.kind = "non_idempotent",
         .latency_objective_ms = 100,
         .engines = true},
        {with_warm_up([&](const seen_request& r) { return engine.answer(r); })},
        limits);
    const auto until = net::event_loop::now().mono + 15s;
    int status = 0;
    while (status != 200 && net::event_loop::now().mono < until) {
        status =
            s.ask(request_text("id1", no_body + adapter_header("a1"), "POST"))
                .head.status;
        std::this_thread::sleep_for(50ms);
    }
    CHECK(status == 200);
    CHECK(engine.turn() >= gateway::boot_settings{}.lease);
    CHECK(settings_read > 2);
    for (const auto& order : engine.orders())
        CHECK(order.find("\"expect\":") != std::string::npos);
}
