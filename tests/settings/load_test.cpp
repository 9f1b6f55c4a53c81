#include "lovagegate/settings/load.hpp"
#include "lovagegate/settings/problem.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace std::chrono_literals;
using settings::problem_kind;

namespace {

const std::string minimal = R"([instance]
name = entry-1
failure-domain = rijeka-a
listen = 127.0.0.1:8080
peer-listen = [::1]:8081
[platform]
config-address = 127.0.0.1:8500
list-address = 127.0.0.1:8500
[peers]
key-file = key
)";

std::vector<settings::problem> problems_of(const std::string& text)
{
    try {
        static_cast<void>(settings::parse(text, "a.ini"));
    } catch (const settings::settings_error& e) {
        return e.problems();
    }
    return {};
}

/// @return the only problem that the lines add to the minimal valid file
settings::problem problem_of(const std::string& lines)
{
    const auto found = problems_of(minimal + lines);
    REQUIRE(found.size() == 1);
    return found.front();
}

} // namespace

TEST_CASE("a file with only the required keys is valid", "[settings]")
{
    const auto s = settings::parse(minimal, "a.ini");
    CHECK(s.instance.name.str() == "entry-1");
    CHECK(s.instance.listen.port == 8080);
    CHECK(s.instance.peer_listen.address == "::1");
    CHECK(s.pool.pool_size == 16);
}

TEST_CASE("values are parsed with their units", "[settings]")
{
    const auto s = settings::parse(minimal + "[pool]\nlease-ttl = 4500ms\n"
                                             "batch-weight = 2.5\n"
                                             "batch-hold = 2min ; bound\n"
                                             "[limits]\nbody-bytes = 64KiB\n"
                                             "deadline-batch = 10h\n"
                                             "[log]\nlevel = error\n",
                                   "a.ini");
    CHECK(s.pool.lease_ttl == 4500ms);
    CHECK(s.pool.batch_weight == 2.5);
    CHECK(s.pool.batch_hold == 2min);
    CHECK(s.limits.body_bytes == 64 * 1024);
    CHECK(s.limits.deadline.back() == 10h);
    CHECK(s.log.level == settings::log_level::error);
}

TEST_CASE("an unknown key is rejected with the nearest known key", "[settings]")
{
    const auto p = problem_of("[pool]\nlease_ttl = 6s\n");
    CHECK(p.kind == problem_kind::unknown_key);
    CHECK(p.line == 12);
    CHECK(p.key == "pool.lease_ttl");
    CHECK(p.expected == "a known key, nearest is lease-ttl");
}

TEST_CASE("an unknown section is rejected even if it is empty", "[settings]")
{
    const auto p = problem_of("[limit]\n");
    CHECK(p.kind == problem_kind::unknown_section);
    CHECK(p.expected == "a known section, nearest is [limits]");
}

TEST_CASE("values of a wrong type, unit or range are rejected", "[settings]")
{
    const std::string line = GENERATE(
        as<std::string>{}, "[pool]\nlease-ttl = 6", "[pool]\nlease-ttl = 6d",
        "[pool]\nlease-ttl = -6s", "[pool]\nlease-ttl = 1us",
        "[pool]\nlease-ttl = 99999999999999999999h", "[pool]\npool-size = 0",
        "[pool]\npool-size = 1.5",
        "[pool]\npool-size =", "[limits]\nbody-bytes = 99999999999999999MiB",
        "[limits]\nbody-bytes = 64kb", "[limits]\nretry-share = 1.1",
        "[limits]\nretry-share = nan", "[quarantine]\ncrash-limit = 3",
        "[log]\nlevel = loud");
    CAPTURE(line);
    CHECK(problem_of(line).kind == problem_kind::bad_value);
}

TEST_CASE("parse_endpoint accepts only numeric IP addresses with a port",
          "[settings]")
{
    const std::string text = GENERATE(
        as<std::string>{}, "localhost:80", "127.0.0.1", ":80", "127.0.0.1:0",
        "127.0.0.1:65536", "1.2.3:80", "[::1:80", "::1:80");
    CAPTURE(text);
    CHECK_FALSE(settings::parse_endpoint(text));
}

TEST_CASE("all problems are listed in line order", "[settings]")
{
    const auto found = problems_of("[instance]\nname = entry 1\nnonsense\n"
                                   "[pool]\npool-size = x\npool-size = 3\n"
                                   "listen = 1\n[peers");
    std::vector<problem_kind> kinds;
    for (const auto& p : found) {
        if (p.line > 0) {
            kinds.push_back(p.kind);
        }
    }
    CHECK(kinds == std::vector<problem_kind>{
                       problem_kind::bad_value, problem_kind::malformed_line,
                       problem_kind::bad_value, problem_kind::duplicate_key,
                       problem_kind::unknown_key,
                       problem_kind::malformed_line});
    CHECK(found.front().kind == problem_kind::missing_key);
    CHECK(found.front().key == "instance.failure-domain");
}

TEST_CASE("values that contradict each other are rejected", "[settings]")
{
    const auto p = problem_of("[pool]\nlease-ttl = 1s\nsend-window = 1s\n");
    CHECK(p.kind == problem_kind::inconsistent);
    CHECK(p.line == 13);
    CHECK(to_string(p) == "a.ini:13: pool.send-window: expected less than "
                          "pool.lease-ttl");
}

TEST_CASE("a line longer than the parser's buffer is rejected", "[settings]")
{
    const auto p = problem_of("# " + std::string(300, 'x'));
    CHECK(p.kind == problem_kind::line_too_long);
}

TEST_CASE("an unreadable file or a short key throws settings_error",
          "[settings]")
{
    CHECK_THROWS_AS(settings::load("/nonexistent/a.ini"),
                    settings::settings_error);
    CHECK_THROWS_AS(settings::load("/"), settings::settings_error);
    CHECK_THROWS_AS(settings::load_key("/dev/null"), settings::settings_error);
}
