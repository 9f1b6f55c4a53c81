#include "lovagegate/core/error.hpp"
#include "lovagegate/settings/units.hpp"
#include "standins/engine/engine.hpp"
#include "standins/platform/platform.hpp"
#include "standins/service/plain_service.hpp"
#include "standins/store/weight_store.hpp"

#include <docopt/docopt.h>
#include <iostream>
#include <limits>

namespace {

using namespace lovagegate;
using namespace lovagegate::standins;

constexpr const char* usage =
    R"(lovagegate-standin: small stand-ins for what lovagegate talks to.

Usage:
  lovagegate-standin engine [--port=N] [--for=TIME] [--name=NAME]
      [--model=NAME] [--slots=N] [--batch-limit=N] [--first-token=TIME]
      [--token-interval=TIME] [--load-time=TIME] [--store=ADDRESS]
      [--restart-time=TIME] [--check-fencing]
  lovagegate-standin service [--port=N] [--for=TIME] [--name=NAME]
      [--delay=TIME]
  lovagegate-standin platform [--port=N] [--for=TIME] [--list-lag=TIME]
  lovagegate-standin store [--port=N] [--for=TIME] [--rate=N]
      [--at-full-speed=N] [--in-transit=N] [--load-time=TIME]
  lovagegate-standin --help

Each listens on 127.0.0.1 and prints its port. Times carry a unit: 250ms, 5s.

Options:
  --port=N               Port, 0 for a free one [default: 0].
  --for=TIME             End after this time [default: 10min].
  --name=NAME            Name in answers [default: standin].
  --model=NAME           Base model of the engine [default: base].
  --slots=N              Adapters held at once [default: 4].
  --batch-limit=N        Requests that run at once [default: 16].
  --first-token=TIME     Time to the first token [default: 20ms].
  --token-interval=TIME  Time between tokens [default: 10ms].
  --load-time=TIME       Time of one load [default: 250ms].
  --store=ADDRESS        Weight store to load from, IP:PORT.
  --restart-time=TIME    Time that a crashed engine is away [default: 300ms].
  --check-fencing        Refuse orders with an old fencing token.
  --delay=TIME           Time that a call takes [default: 5ms].
  --list-lag=TIME        How late the instance list is [default: 0ms].
  --rate=N               Loads that may start each second [default: 4].
  --at-full-speed=N      Loads that may start at once [default: 2].
  --in-transit=N         Loads at once that keep the load time [default: 16].
)";

/// An option is not of its type.
class option_error : public error
{
public:
    using error::error;
};

/// The parsed command line, read by type.
class options
{
public:
    explicit options(std::map<std::string, docopt::value> found)
        : found_(std::move(found))
    {
    }

    bool flag(const std::string& name) const
    {
        return found_.at(name).asBool();
    }
    std::string text(const std::string& name) const
    {
        return found_.at(name).asString();
    }
    duration time(const std::string& name) const
    {
        return parsed(name, settings::parse_duration);
    }
    std::size_t count(const std::string& name) const
    {
        return parsed(name, settings::parse_count);
    }
    double number(const std::string& name) const
    {
        return parsed(name, settings::parse_number);
    }
    std::optional<settings::endpoint> address(const std::string& name) const
    {
        if (!found_.at(name).isString()) {
            return std::nullopt;
        }
        return parsed(name, settings::parse_endpoint);
    }
    process_options process() const
    {
        const std::size_t port = count("--port");
        if (port > std::numeric_limits<std::uint16_t>::max()) {
            throw option_error("--port: over 65535");
        }
        return {static_cast<std::uint16_t>(port), time("--for")};
    }

private:
    template <typename Value>
    Value parsed(const std::string& name,
                 std::optional<Value> (*parse)(std::string_view)) const
    {
        const auto value = parse(text(name));
        if (!value) {
            throw option_error(name + ": not understood: " + text(name));
        }
        return *value;
    }

    std::map<std::string, docopt::value> found_;
};

void run_engine(const options& o)
{
    engine_options e;
    e.process = o.process();
    e.name = o.text("--name");
    e.model = o.text("--model");
    e.slots = o.count("--slots");
    e.batch_limit = o.count("--batch-limit");
    e.first_token = o.time("--first-token");
    e.token_interval = o.time("--token-interval");
    e.load_time = o.time("--load-time");
    e.store = o.address("--store");
    e.check_fencing = o.flag("--check-fencing");
    e.restart_time = o.time("--restart-time");
    engine(std::move(e)).run();
}

void run_store(const options& o)
{
    weight_store({o.process(), o.number("--rate"), o.number("--at-full-speed"),
                  o.count("--in-transit"), o.time("--load-time")})
        .run();
}

void run(const options& o)
{
    if (o.flag("engine")) {
        run_engine(o);
    } else if (o.flag("service")) {
        plain_service({o.process(), o.text("--name"), o.time("--delay")}).run();
    } else if (o.flag("platform")) {
        platform({o.process(), o.time("--list-lag")}).run();
    } else {
        run_store(o);
    }
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int failure = 1;
    constexpr int wrong_usage = 2;
    try {
        run(options(docopt::docopt_parse(usage, {argv + 1, argv + argc})));
        return 0;
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptArgumentError&) {
        std::cerr << usage;
        return wrong_usage;
    } catch (const option_error& e) {
        std::cerr << e.what() << '\n';
        return wrong_usage;
    } catch (const std::exception& e) {
        std::cerr << "lovagegate-standin: " << e.what() << '\n';
        return failure;
    }
}
