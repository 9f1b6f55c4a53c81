// Clients send requests of legal size that name adapters which don't exist,
// each another one. Checks that the process stays within the memory of its
// machine, which kills it otherwise.

#include "review/standin-3/engine.hpp"

#include <cstdio>
#include <map>

namespace {

using namespace lovagegate;
using namespace lovagegate::review;

constexpr duration warm_up = 3s;
constexpr duration play_time = 105s;
constexpr duration gap = 4ms;
constexpr std::uint64_t ordinary_every = 25;
constexpr std::size_t name_bytes = 14000; ///< of at most 16,384 in a head
constexpr double memory_mb = 260;         ///< limits.memoryMb
constexpr duration report_interval = 5s;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    const std::string folder = make_temporary_folder();
    record out(std::string(argv[1]) + "/record.txt");
    net::event_loop loop;
    site s(loop, {.instances = 1, .folder = folder});
    s.store().put_config(config_text({}));
    engine_options o;
    o.id = "i-0";
    engine e(loop, s, out, o);
    s.start(0);
    clients callers(loop);
    std::map<int, std::size_t> odd;
    std::map<int, std::size_t> ordinary;
    std::uint64_t sent = 0;
    double most = 0;
    bool ended = false;
    const time_point start = net::event_loop::now().mono;
    time_point next = start + warm_up;
    time_point report = start + report_interval;
    const auto show = [&] {
        out.line("memory " + std::to_string(static_cast<int>(most)) +
                 " MB at most, " + std::to_string(sent) + " requests sent");
    };
    while (!ended && net::event_loop::now().mono - start < play_time) {
        const time_point now = net::event_loop::now().mono;
        while (now >= next) {
            next += gap;
            const std::string id = "c" + std::to_string(++sent);
            const bool is_ordinary = is_calm() || sent % ordinary_every == 0;
            const std::string adapter =
                is_ordinary
                    ? "a" + std::to_string(sent / ordinary_every % 5)
                    : std::string(name_bytes, 'x') + std::to_string(sent);
            callers.send(s.callers(0), request_text(id, adapter, 3000, 2), 5s,
                         [&to = is_ordinary ? ordinary : odd](const answer& a) {
                             ++to[a.status];
                         });
        }
        if (!s.is_running(0)) {
            out.line("the process has ended by itself");
            ended = true;
        }
        most = std::max(most, s.resident_mb(0));
        if (most > memory_mb) {
            show();
            out.line("the process holds more than memoryMb; the machine "
                     "kills it with " +
                     std::to_string(callers.open()) + " requests open");
            s.kill(0);
            ended = true;
        }
        if (now >= report) {
            report += report_interval;
            show();
        }
        loop.call_later(2ms, [] {});
        loop.run_once();
    }
    for (const auto& [status, n] : odd)
        out.line("requests for unknown adapters with status " +
                 std::to_string(status) + ": " + std::to_string(n));
    for (const auto& [status, n] : ordinary)
        out.line("ordinary requests with status " + std::to_string(status) +
                 ": " + std::to_string(n));
    const bool ran = ordinary[200] > 100;
    const int result = !ran ? 2 : ended ? 1 : 0;
    out.line(result == 1   ? "BROKEN: Fault, the process ended"
             : result == 0 ? "held"
                           : "did not run");
    leave(s, folder, result);
}
