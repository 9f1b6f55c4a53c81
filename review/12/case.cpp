// The instance that gives an engine its orders freezes just before a new
// version of an adapter is declared, while the engine has a queue. Checks that
// no run begins on the old version later than version_ms after the
// declaration.

#include "review/standin-3/engine.hpp"

#include <csignal>
#include <cstdio>
#include <map>
#include <random>

namespace {

using namespace lovagegate;
using namespace lovagegate::review;

constexpr duration warm_up = 8s;
constexpr duration calm_gap = 210ms;
/// 2.4 times the usual, for 4.5 s.
constexpr duration burst_gap = 87ms;
constexpr duration burst_before = 1500ms;
constexpr duration burst_after = 3000ms;
constexpr duration freeze_time = 3500ms;
constexpr duration release_delay = 200ms;
constexpr duration version_limit = 5s;
constexpr duration after = 14s;
constexpr int events = 75;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    const std::string folder = make_temporary_folder();
    record out(std::string(argv[1]) + "/record.txt");
    net::event_loop loop;
    site s(loop, {.instances = 3, .folder = folder});
    route_options route;
    s.store().put_config(config_text(route));
    engine_options o;
    o.id = "i-0";
    engine e(loop, s, out, o);
    std::string holder;
    e.on_order = [&](const std::string& h, bool load,
                     const std::string& adapter) {
        out.line("order of " + h + (load ? ": load " : ": unload ") + adapter);
        holder = h;
    };
    time_point released{};
    std::map<std::string, std::size_t> sent_by;
    std::map<std::string, time_point> sent_at;
    std::size_t begun_new = 0;
    std::size_t begun_old = 0;
    std::size_t late = 0;
    std::size_t owner = 0;
    e.on_run = [&](const engine::run& run) {
        if (released == time_point{} || run.adapter != "a1")
            return;
        const duration since = run.begun - released;
        ++(run.version == 1 ? begun_old : begun_new);
        if (run.version != 1 || since <= version_limit)
            return;
        const bool in_touch = is_calm() || sent_by[run.attempt] != owner;
        late += in_touch ? 1 : 0;
        out.line(
            "request " + run.attempt + ", taken by instance " +
            std::to_string(sent_by[run.attempt]) +
            ", begins on version "
            "1 of a1 " +
            std::to_string(static_cast<int>(to_ms(since))) +
            " ms after the ack of version 2; it reached the engine " +
            std::to_string(static_cast<int>(to_ms(run.arrived - released))) +
            " ms after that ack" + (in_touch ? "" : " (not in touch)"));
    };
    for (std::size_t i = 0; i < s.size(); ++i)
        s.start(i);
    clients callers(loop);
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    const time_point start = net::event_loop::now().mono;
    const time_point strike = start + warm_up + burst_before;
    time_point next = start + 3s;
    enum class phase : std::uint8_t
    {
        before,
        frozen,
        declared,
        back
    } at = phase::before;
    while (net::event_loop::now().mono < strike + after) {
        const time_point now = net::event_loop::now().mono;
        const bool burst =
            now > strike - burst_before && now < strike + burst_after;
        if (now >= next) {
            next = now + (burst ? burst_gap : calm_gap);
            const std::string id = "c" + std::to_string(++sent);
            std::size_t to = sent % s.size();
            // The platform takes a frozen machine out of rotation.
            if (at != phase::before && at != phase::back && to == owner)
                to = (to + 1) % s.size();
            sent_by[id] = to;
            callers.send(
                s.callers(to),
                request_text(id, sent % 4 == 0 ? "a2" : "a1", 12000, events),
                13s, [&](const answer& a) {
                    if (a.status == 200 && a.complete)
                        ++whole;
                    else if (a.status == 503 || a.status == 429)
                        ++refused;
                    else
                        ++failed;
                });
        }
        if (at == phase::before && now >= strike) {
            owner = static_cast<std::size_t>(holder.back() - '0');
            if (!is_calm()) {
                s.signal(owner, SIGSTOP);
                out.line("instance " + std::to_string(owner) +
                         ", which gives the orders, freezes");
            }
            at = phase::frozen;
        }
        if (at == phase::frozen && now >= strike + release_delay) {
            e.release("a1", 2);
            s.store().put("op/version/m0.a1",
                          R"({"model":"m0","adapter":"a1","version":2})");
            released = now;
            out.line("version 2 of a1 is declared and acknowledged");
            at = phase::declared;
        }
        if (at == phase::declared && now >= strike + freeze_time) {
            if (!is_calm()) {
                s.signal(owner, SIGCONT);
                out.line("instance " + std::to_string(owner) + " wakes");
            }
            at = phase::back;
        }
        loop.call_later(5ms, [] {});
        loop.run_once();
    }
    out.line("requests: " + std::to_string(sent) + " sent, " +
             std::to_string(whole) + " served, " + std::to_string(refused) +
             " refused, " + std::to_string(failed) + " failed");
    out.line("runs of a1 after the ack: " + std::to_string(begun_old) +
             " on version 1, " + std::to_string(begun_new) + " on version 2");
    int result = 2;
    if (!holder.empty() && whole > 10)
        result = late > 0 ? 1 : 0;
    out.line(result == 1 ? "BROKEN: VERSION, " + std::to_string(late) +
                               " runs began on the old version later than "
                               "version_ms"
             : result == 0 ? "held"
                           : "did not run");
    leave(s, folder, result);
}
