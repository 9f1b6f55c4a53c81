#include "platform/boot_settings.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using platform_wire::boot_error;
using platform_wire::parse_settings;

namespace {

const std::string valid_settings = "nodeName=n1\n"
                                   "ipAddress=10.1.0.38\n"
                                   "zone=rijeka-a\n"
                                   "listenAddresses.frontend=10.1.0.38:8149\n"
                                   "listenAddresses.ready=10.1.0.38:8141\n"
                                   "listenAddresses.control=10.1.0.38:8144\n"
                                   "internalPortRange=7380,7395\n"
                                   "seeds=10.1.0.38:8144,10.2.0.40:8144\n"
                                   "bootstrap=true\n"
                                   "limits.fileDescriptors=4100\n"
                                   "bounds.leaseDurationMs=2500\n"
                                   "bounds.retryBudgetRatio=0.3\n"
                                   "platform.address=10.200.1.7:8142\n"
                                   "somethingNew=whatever\n";

std::string message_of(const std::string& text)
{
    try {
        (void)parse_settings("boot.conf", text);
    } catch (const boot_error& e) {
        return e.what();
    }
    return "no error";
}

std::string with_line(const std::string& line)
{
    return valid_settings + line + "\n";
}

} // namespace

TEST_CASE("parse_settings reads the settings of a file", "[platform_wire]")
{
    const auto s = parse_settings("boot.conf", valid_settings);
    CHECK(s.instance == "n1");
    CHECK(s.callers.port == 8149);
    CHECK(s.peer_port == 7380);
    CHECK(s.metrics_port == 9464);
    CHECK(s.seeds.size() == 2);
    CHECK(s.lease == 2500ms);
    CHECK(s.retry_ratio == 0.3);
    CHECK(s.first_start);
    CHECK(s.descriptors == 3900);
    CHECK(s.drain_after_notice == 2s);
    CHECK(s.quota.window == 8s);
    CHECK(s.quota.overage == 0.25);
    CHECK(s.quota.slack == 17'000);
}

// Guards against a bound that changes a deployment which didn't ask for it.
TEST_CASE("engines' memory is bounded where the contracts name it",
          "[platform_wire]")
{
    const auto bounds = [](const std::string& line) {
        return parse_settings("boot.conf", with_line(line))
            .engines_bound_memory;
    };
    CHECK_FALSE(bounds(""));
    CHECK_FALSE(bounds("contracts=health,pressures"));
    CHECK(bounds("contracts=health,pressure"));
    CHECK(bounds("contracts=pressure"));
}

// Guards against a change for deployments that don't ask for it.
TEST_CASE("owners admit requests to engines where the contracts name health",
          "[platform_wire]")
{
    const auto admits = [](const std::string& line) {
        return parse_settings("boot.conf", with_line(line))
            .owners_admit_requests;
    };
    CHECK_FALSE(admits(""));
    CHECK_FALSE(admits("contracts=base,engine"));
    CHECK(admits("contracts=base,health,engine"));
}

// Guards against a doubt of deletions that outlasts a shorter window.
TEST_CASE("the time until the drain limit holds again is read",
          "[platform_wire]")
{
    CHECK(parse_settings("boot.conf", valid_settings).stable_window == 3s);
    CHECK(parse_settings("boot.conf", with_line("bounds.stableWindowMs=4000"))
              .stable_window == 4s);
}

TEST_CASE("the share of a core is read", "[platform_wire]")
{
    CHECK(parse_settings("boot.conf", valid_settings).cpu_cores == 0);
    CHECK(parse_settings("boot.conf", with_line("limits.cpuShare=0.09"))
              .cpu_cores == 0.09);
}

TEST_CASE(
    "an invalid setting is rejected with file, line, key and expected value",
    "[platform_wire]")
{
    CHECK(message_of("nodeName=n\n") == "boot.conf: ipAddress: missing");
    CHECK(message_of(with_line("bounds.drainMs=soon")) ==
          "boot.conf:15: bounds.drainMs: expected a number, 0 or more, found "
          "'soon'");
    CHECK(message_of(with_line("platform.address=here")) ==
          "boot.conf:15: platform.address: expected IP:PORT, found 'here'");
    CHECK(message_of(with_line("internalPortRange=7395,7380")) ==
          "boot.conf:15: internalPortRange: expected two ports, the second one "
          "higher, found '7395,7380'");
    CHECK(message_of(with_line("bootstrap=yes")) ==
          "boot.conf:15: bootstrap: expected true or false, found 'yes'");
    CHECK(message_of(with_line("no equals sign")) ==
          "boot.conf:15: expected KEY=VALUE, found 'no equals sign'");
}

// Guards against bounds of the workspaces' limits that are read from the wrong
// key or in the wrong unit, and against a window without a length.
TEST_CASE("the bounds of workspaces' limits are read", "[platform_wire]")
{
    const auto s =
        parse_settings("boot.conf", with_line("bounds.quotaWindowS=4\n"
                                              "bounds.quotaOverage=0.5\n"
                                              "bounds.quotaSlack=900"));
    CHECK(s.quota.window == 4s);
    CHECK(s.quota.overage == 0.5);
    CHECK(s.quota.slack == 900);
    CHECK(message_of(with_line("bounds.quotaWindowS=0"))
              .find("bounds.quotaWindowS: expected a number, 1 or more") !=
          std::string::npos);
}
