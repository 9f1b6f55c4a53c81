#include "lovagegate/cli/check.hpp"
#include "lovagegate/cli/command.hpp"
#include "lovagegate/cli/status_page.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace lovagegate;

TEST_CASE("each command parses its arguments", "[cli]")
{
    const auto serve = cli::parse({"serve", "--settings", "a.ini"});
    CHECK(std::get<cli::serve_command>(serve).settings_file == "a.ini");
    const auto check = std::get<cli::check_command>(
        cli::parse({"check", "--settings=a.ini", "1.json", "2.json"}));
    CHECK(check.settings_file == "a.ini");
    CHECK(check.ticket_files.size() == 2);
    const auto status = std::get<cli::status_command>(
        cli::parse({"status", "--json", "127.0.0.1:80"}));
    CHECK(status.json);
    CHECK(status.instance.port == 80);
    CHECK_THAT(std::get<cli::print_command>(cli::parse({"--version"})).text,
               Catch::StartsWith("lovagegate "));
}

TEST_CASE("a wrong command line is a usage error", "[cli]")
{
    CHECK_THROWS_AS(cli::parse({}), cli::usage_error);
    CHECK_THROWS_AS(cli::parse({"serve"}), cli::usage_error);
    CHECK_THROWS_AS(cli::parse({"check"}), cli::usage_error);
    CHECK_THROWS_AS(cli::parse({"status", "localhost"}), cli::usage_error);
    CHECK_THROWS_AS(cli::parse({"stop"}), cli::usage_error);
}

TEST_CASE("a check reports each unreadable file", "[cli]")
{
    std::ostringstream out;
    std::ostringstream err;
    const cli::check_command c{"/nonexistent/a.ini", {"/nonexistent/1.json"}};
    CHECK_FALSE(cli::check(c, out, err));
    CHECK(err.str() == "/nonexistent/a.ini: expected a readable file\n"
                       "/nonexistent/1.json: expected a readable file\n");
}

TEST_CASE("the examples are valid", "[cli]")
{
    const std::string examples = LOVAGEGATE_EXAMPLES "/";
    const std::string name = GENERATE("jadran", "kerala");
    std::ostringstream out;
    std::ostringstream err;
    CHECK(cli::check(
        {examples + name + ".ini", {examples + name + "-ticket.json"}}, out,
        err));
    CHECK(err.str().empty());
}

TEST_CASE("a status page shows a dash for missing fields", "[cli]")
{
    const std::string page = cli::status_page(
        R"({"instance":{"name":"entry-1"},"tickets":{"highest":7},
            "targets":[{"id":"e-1","leases":2,"adapters":["a@1","b@2"]}],
            "counters":{"refusals{reason=\"queue_full\"}":3}})");
    CHECK_THAT(page, Catch::Contains("instance entry-1 in -, -"));
    CHECK_THAT(page, Catch::Contains("highest ticket in force: 7"));
    CHECK_THAT(page, Catch::Contains("a@1 b@2"));
    CHECK_THAT(page, Catch::Contains("refusals{reason=\"queue_full\"}  3"));
    CHECK_THROWS_AS(cli::status_page("[]"), cli::status_error);
    CHECK_THROWS_AS(cli::status_page("{"), cli::status_error);
}
