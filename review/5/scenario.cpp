// A machine is cut off from a caller while the head of the second request on a
// kept channel is on its way.
#include "engine.hpp"
#include "machines.hpp"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <thread>

namespace {

using namespace lovagegate::review;

constexpr milliseconds cut_length{4000};
constexpr milliseconds answer_limit{12000};
/// What one segment of the caller carries.
constexpr std::size_t segment_bytes = 1400;
constexpr int rounds = 3;

/// @return a request whose head needs two segments, since its prompt has many
///         shared parts
std::string request(const std::string& attempt)
{
    std::string parts;
    constexpr int shared_parts = 150;
    for (int i = 0; i < shared_parts; ++i) {
        char part[20];
        std::snprintf(part, sizeof part, "%08x:10,", 0x5c1e0000U + unsigned(i));
        parts += part;
    }
    const std::string body = "prompt of " + attempt;
    return "POST /speak/ HTTP/1.1\r\nHost: review.example\r\n"
           "X-Model-Name: " +
           std::string(engine::model) +
           "/a1\r\nX-Token-Counts: 1510,20\r\nX-Request-Deadline: 12000\r\n"
           "X-Prompt-Prefix: " +
           parts + "e4402b7d:10\r\nX-Attempt-Id: " + attempt +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Sends two requests on one channel.
/// @return 1 if an answer named another request than the one that was waiting,
///         0 if not, 2 if the first request wasn't served
int play_round(bool trouble, record& log, const machines& fleet,
               const std::string& name)
{
    constexpr int ok = 200;
    const std::string first = name + "-first";
    const std::string second = name + "-second";
    channel c(fleet.ip(0), fleet.port());
    if (!c.is_open() || !c.write(request(first)))
        return 2;
    log.write("sent " + first);
    const auto a = c.read(answer_limit);
    if (!a || a->status != ok || a->header("x-attempt-id") != first)
        return 2;
    log.write(first + " is answered 200");
    const std::string text = request(second);
    c.write(text.substr(0, segment_bytes));
    log.write("sent the first segment of " + second);
    std::this_thread::sleep_for(trouble ? cut_length : milliseconds(5));
    c.write(text.substr(segment_bytes));
    log.write("the rest of " + second + " arrives");
    const auto b = c.read(answer_limit);
    if (!b) {
        log.write("no answer to " + second);
        return 0;
    }
    const std::string id = b->header("x-attempt-id");
    log.write("answer " + std::to_string(b->status) + " with X-Attempt-Id '" +
              id + "' while " + second + " waits");
    if (id.empty() || id == second)
        return 0;
    log.write("BROKEN MIXED: the answer belongs to " + id +
              ", which was answered 200 before");
    return 1;
}

int play(bool trouble, record& log, store& platform,
         std::deque<engine>& engines, machines& fleet)
{
    constexpr int not_run = 2;
    auto config = model_config(1, "speech");
    config["routes"][0]["resumable"] = false;
    platform.put("op/config", config);
    for (auto& e : engines)
        e.start_pings();
    fleet.start(0, {0}, true);
    if (!fleet.wait_ready({0}, milliseconds(10000)))
        return not_run;
    std::this_thread::sleep_for(milliseconds(5000));
    int broken = 0;
    for (int i = 0; i < rounds; ++i) {
        const int result =
            play_round(trouble, log, fleet, "round-" + std::to_string(i));
        if (result == not_run)
            return not_run;
        broken += result;
    }
    if (fleet.has_one_ended())
        return not_run;
    log.write(std::to_string(broken) + " of " + std::to_string(rounds) +
              " rounds broke the rule");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int not_run = 2;
    if (argc != 3)
        return not_run;
    record log(argv[2]);
    const std::string network = own_network();
    store platform(log, network + ".1", 1);
    std::deque<engine> engines;
    engines.emplace_back(log, platform, "i-0a", network + ".2", "speech");
    machines fleet(log, platform, network, 1);
    const int result =
        play(std::string(argv[1]) != "0", log, platform, engines, fleet);
    fleet.kill_all();
    // Threads of the stand-ins still use the objects above.
    std::_Exit(result);
}
