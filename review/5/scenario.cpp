// The store falls silent for the two machines that read it for all others, and
// the operator changes the configuration.
#include "engine.hpp"
#include "machines.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <thread>

namespace {

using namespace lovagegate::review;

constexpr std::int64_t config_apply_ms = 2000;
constexpr milliseconds between_changes{500};
constexpr milliseconds silence{9000};
constexpr milliseconds rest{4000};
constexpr milliseconds answer_limit{3000};
constexpr int rounds = 5;
const std::vector<std::size_t> all_machines{0, 1, 2, 3, 4, 5};

/// Adds a route to a configuration and counts its version up.
void add_route(nlohmann::json& config, const std::string& name)
{
    auto route = config["routes"][0];
    route["name"] = name;
    route["prefix"] = "/" + name + "/";
    config["routes"].push_back(route);
    config["version"] = config["version"].get<std::uint64_t>() + 1;
}

/// Asks a machine for a route.
/// @return status of the answer, 0 without one
int probe(record& log, const machines& fleet, std::size_t machine,
          const std::string& route, const std::string& attempt)
{
    std::string text = "POST /" + route + "/ HTTP/1.1\r\n";
    text += "Host: review.example\r\nX-Attempt-Id: " + attempt;
    text += "\r\nX-Model-Name: " + std::string(engine::model);
    text += "/a1\r\nX-Token-Counts: 30,20\r\n"
            "X-Prompt-Prefix: 5c1e07a2:20,e4402b7d:10\r\n"
            "X-Request-Deadline: 3000\r\nContent-Length: 0\r\n\r\n";
    channel c(fleet.ip(machine), fleet.port());
    log.write(attempt + " asks " + machines::name(machine) + " for " + route);
    const auto a =
        c.is_open() && c.write(text) ? c.read(answer_limit) : std::nullopt;
    const int status = a ? a->status : 0;
    log.write(attempt + " gets " + std::to_string(status));
    return status;
}

/// @return machines that wait for changes of the configuration
std::vector<std::size_t> readers(store& platform)
{
    std::vector<std::size_t> found;
    for (const auto m : all_machines)
        if (platform.is_watching(m, "op/"))
            found.push_back(m);
    return found;
}

/// @return how many requests were handled by an older configuration later than
///         the bound after its successor was acknowledged
int play_round(bool trouble, record& log, store& platform,
               const machines& fleet, nlohmann::json& config, int round)
{
    constexpr int not_found = 404;
    const std::string name = "r" + std::to_string(round);
    add_route(config, name + "-first");
    platform.put("op/config", config);
    std::this_thread::sleep_for(between_changes);
    const auto silent = readers(platform);
    if (trouble)
        for (const auto m : silent)
            platform.cut(m, true);
    std::this_thread::sleep_for(milliseconds(100));
    add_route(config, name + "-second");
    const std::int64_t acked_at = platform.put("op/config", config);
    std::this_thread::sleep_for(
        milliseconds(acked_at + config_apply_ms + 50 - log.now()));
    int late = 0;
    for (const auto m : all_machines) {
        // A machine that is cut off is not in touch.
        if (std::ranges::find(silent, m) != silent.end())
            continue;
        const std::int64_t sent_at = log.now();
        const std::string attempt = name + "-" + std::to_string(m);
        if (probe(log, fleet, m, name + "-second", attempt) != not_found)
            continue;
        ++late;
        log.write("BROKEN CONFIG: " + machines::name(m) +
                  " answered 404 to a request sent " +
                  std::to_string(sent_at - acked_at) +
                  " ms after the ack of the version that adds the route");
    }
    std::this_thread::sleep_for(
        milliseconds(acked_at + silence.count() - log.now()));
    if (trouble)
        for (const auto m : silent)
            platform.cut(m, false);
    std::this_thread::sleep_for(rest);
    return late;
}

int play(bool trouble, record& log, store& platform,
         std::deque<engine>& engines, machines& fleet)
{
    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int not_run = 2;
    auto config = model_config(1, "speech");
    platform.put("op/config", config);
    for (auto& e : engines)
        e.start_pings();
    for (const auto m : all_machines)
        fleet.start(m, {0, 1, 2}, true);
    if (!fleet.wait_ready(all_machines, milliseconds(10000)))
        return not_run;
    std::this_thread::sleep_for(milliseconds(5000));
    int late = 0;
    for (int i = 0; i < rounds; ++i)
        late += play_round(trouble, log, platform, fleet, config, i);
    if (fleet.has_one_ended())
        return not_run;
    log.write(std::to_string(late) + " requests met an older configuration");
    return late > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int not_run = 2;
    if (argc != 3)
        return not_run;
    record log(argv[2]);
    const std::string network = own_network();
    store platform(log, network + ".1", all_machines.size());
    std::deque<engine> engines;
    for (const char* id : {"i-0a", "i-0b"})
        engines.emplace_back(log, platform, id, network + ".2", "speech");
    machines fleet(log, platform, network, all_machines.size());
    const int result =
        play(std::string(argv[1]) != "0", log, platform, engines, fleet);
    fleet.kill_all();
    // Threads of the stand-ins still use the objects above.
    std::_Exit(result);
}
