// Engines are added. The instance that takes one of them loses power right
// after its first order. Checks that no other instance orders the engine within
// one lease of that order.

#include "review/standin-3/engine.hpp"

#include <csignal>
#include <random>

namespace {

using namespace lovagegate;
using namespace lovagegate::review;

constexpr duration warm_up = 3s;
constexpr duration added_at = 8s;
constexpr duration adding_gap = 3s;
constexpr std::size_t engines_added = 20;
/// Until then the holder has just taken the engine.
constexpr duration soon = 1600ms;
constexpr duration power_off = 3500ms;
constexpr duration rest = 4s;
constexpr duration play_time = 95s;
constexpr duration gap = 10ms;
constexpr duration lease = 3s;
constexpr int adapters = 300;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    const std::string folder = make_temporary_folder();
    record out(std::string(argv[1]) + "/record.txt");
    net::event_loop loop;
    site s(loop, {.instances = 4, .folder = folder});
    s.store().put_config(config_text({.adapter_slots = 29, .slots = 64}));
    engine_options o;
    o.id = "i-0";
    o.slots = 64;
    o.adapter_slots = 29;
    engine first(loop, s, out, o);
    std::vector<std::unique_ptr<engine>> added;
    for (std::size_t i = 0; i < s.size(); ++i)
        s.start(i);
    clients callers(loop);
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> adapter(1, adapters);
    struct last_order
    {
        time_point added{};
        time_point at{};
        std::string holder;
    };
    std::vector<last_order> last;
    std::string lost; ///< holder that loses power
    std::size_t broken = 0;
    std::size_t orders = 0;
    std::size_t sent = 0;
    std::size_t whole = 0;
    const auto on_order = [&](std::size_t n, const std::string& holder,
                              bool load, const std::string& name) {
        const time_point now = net::event_loop::now().mono;
        ++orders;
        last_order& l = last.at(n);
        const bool is_first = l.holder.empty();
        if (l.holder != holder) {
            out.line("order of " + holder + " to engine i-" +
                     std::to_string(n + 1) + ": " +
                     (load ? "load " : "unload ") +
                     (name.empty() ? "its model" : name));
            if (!l.holder.empty() && now - l.at < lease) {
                ++broken;
                out.line("that is " +
                         std::to_string(static_cast<int>(to_ms(now - l.at))) +
                         " ms after an order of " + l.holder +
                         "; both were in touch");
            }
        }
        l.at = now;
        l.holder = holder;
        if (!lost.empty() || is_calm() || !is_first || now - l.added > soon)
            return;
        lost = holder;
        // The answer to the order goes out first.
        loop.call_later(20ms, [&] {
            const auto i = static_cast<std::size_t>(lost.back() - '0');
            s.kill(i);
            out.line(lost + " loses power");
            loop.call_later(power_off, [&, i] {
                s.start(i);
                out.line(lost + " is back");
                // Another loss only if this one has shown nothing.
                if (broken == 0)
                    loop.call_later(rest, [&] { lost.clear(); });
            });
        });
    };
    const time_point start = net::event_loop::now().mono;
    time_point next = start + warm_up;
    time_point next_engine = start + added_at;
    while (broken == 0 && net::event_loop::now().mono - start < play_time) {
        const time_point now = net::event_loop::now().mono;
        if (now >= next) {
            next += gap;
            std::size_t to = ++sent % s.size();
            if (!s.is_running(to))
                to = (to + 1) % s.size();
            callers.send(s.callers(to),
                         request_text("c" + std::to_string(sent),
                                      "a" + std::to_string(adapter(random)),
                                      3000, 8),
                         4s, [&](const answer& a) {
                             whole += a.status == 200 && a.complete ? 1 : 0;
                         });
        }
        if (added.size() < engines_added && lost.empty() &&
            now >= next_engine) {
            next_engine = now + adding_gap;
            const std::size_t n = added.size();
            o.id = "i-" + std::to_string(n + 1);
            o.empty = true;
            out.line("engine " + o.id + " is added");
            last.push_back({now, {}, {}});
            added.push_back(std::make_unique<engine>(loop, s, out, o));
            added.back()->on_order = [&, n](const std::string& holder,
                                            bool load,
                                            const std::string& name) {
                on_order(n, holder, load, name);
            };
        }
        loop.call_later(3ms, [] {});
        loop.run_once();
    }
    out.line("requests: " + std::to_string(sent) + " sent, " +
             std::to_string(whole) + " served; " + std::to_string(orders) +
             " orders to the added engines");
    const int result = orders == 0 || whole < 50 ? 2 : broken > 0 ? 1 : 0;
    out.line(result == 1   ? "BROKEN: ONE, two holders take turns within "
                             "leaseDurationMs"
             : result == 0 ? "held"
                           : "did not run");
    leave(s, folder, result);
}
