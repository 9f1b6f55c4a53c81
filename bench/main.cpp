#include "bench/runs.hpp"
#include "lovagegate/core/error.hpp"
#include "lovagegate/settings/units.hpp"

#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace lovagegate;
using namespace lovagegate::bench;

constexpr const char* usage =
    R"(lovagegate-bench: measures the latency, throughput and memory use of the
gateway. Prints JSON lines.

Usage:
  lovagegate-bench streams --gateway=ADDRESS --direct=ADDRESS --model=NAME
      [--streams=N] [--requests=N] [--tokens=N] [--ramp=TIME]
  lovagegate-bench throughput --gateway=ADDRESS --model=NAME --pid=N
      [--streams=N] [--tokens=N] [--length=TIME]
  lovagegate-bench memory --gateway=ADDRESS --model=NAME --pid=N
      [--streams=N] [--tokens=N]
  lovagegate-bench garbage --gateway=ADDRESS --model=NAME --pid=N
      [--streams=N] [--tokens=N] [--connects=N]
  lovagegate-bench --help

Options:
  --gateway=ADDRESS  Instance of lovagegate, as IP:PORT.
  --direct=ADDRESS   Engine to compare with, as IP:PORT.
  --model=NAME       ADAPTER@VERSION to request.
  --pid=N            Process id of the instance, for its memory and CPU time.
  --streams=N        Concurrent streams to each target [default: 32].
  --requests=N       Requests to each target [default: 200].
  --tokens=N         Tokens per response [default: 32].
  --ramp=TIME        Time to spread the first requests over [default: 1s].
  --length=TIME      Time for which requests are sent [default: 5s].
  --connects=N       Malformed connections to open [default: 10000].
)";

/// Thrown when the value of an option cannot be parsed.
class option_error : public error
{
public:
    using error::error;
};

using options = std::map<std::string, docopt::value>;

template <typename Value>
Value parse_option(const options& o, const std::string& name,
                   std::optional<Value> (*parse)(std::string_view))
{
    const auto value = parse(o.at(name).asString());
    if (!value) {
        throw option_error(name + ": invalid value: " + o.at(name).asString());
    }
    return *value;
}

load_options parse_load(const options& o)
{
    load_options load;
    load.target = parse_option(o, "--gateway", settings::parse_endpoint);
    load.model = o.at("--model").asString();
    load.streams = parse_option(o, "--streams", settings::parse_count);
    load.requests = parse_option(o, "--requests", settings::parse_count);
    load.tokens = parse_option(o, "--tokens", settings::parse_count);
    load.ramp = parse_option(o, "--ramp", settings::parse_duration);
    return load;
}

nlohmann::json run(const options& o)
{
    const load_options load = parse_load(o);
    if (o.at("streams").asBool()) {
        return run_streams(
            load, parse_option(o, "--direct", settings::parse_endpoint));
    }
    const int pid =
        static_cast<int>(parse_option(o, "--pid", settings::parse_count));
    if (o.at("throughput").asBool()) {
        return run_throughput(
            load, pid, parse_option(o, "--length", settings::parse_duration));
    }
    if (o.at("memory").asBool()) {
        return run_memory(load, pid);
    }
    garbage_options garbage;
    garbage.target = load.target;
    garbage.connects = parse_option(o, "--connects", settings::parse_count);
    return run_garbage(load, garbage, pid);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int failure = 1;
    constexpr int usage_error = 2;
    try {
        std::cout << run(docopt::docopt_parse(usage, {argv + 1, argv + argc}))
                  << '\n';
        return 0;
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptArgumentError&) {
        std::cerr << usage;
        return usage_error;
    } catch (const option_error& e) {
        std::cerr << e.what() << '\n';
        return usage_error;
    } catch (const std::exception& e) {
        std::cerr << "lovagegate-bench: " << e.what() << '\n';
        return failure;
    }
}
