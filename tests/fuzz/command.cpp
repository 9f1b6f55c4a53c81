#include "tests/fuzz/command.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <regex>
#include <string_view>

namespace lovagegate::fuzz {

namespace {

constexpr std::array<std::string_view, deed_count> names{
    "wait",          "draft",          "draft_version",
    "overnight",     "lookup",         "signoff",
    "resend",        "stale_signoff",  "poison",
    "leave",         "adapter_change", "target_change",
    "crash_target",  "lose_answers",   "fail_loads",
    "platform_down", "platform_stale", "platform_up",
    "partition",     "heal",           "lose_messages",
    "pause",         "wake",           "kill",
    "stop",          "restart",        "skew"};

} // namespace

std::vector<command> parse_commands(const std::string& text)
{
    static const std::regex form(R"((\w+)\((\d+),(\d+)\))");
    std::vector<command> commands;
    for (std::sregex_iterator it(text.begin(), text.end(), form), end;
         it != end; ++it) {
        const auto place =
            std::find(names.begin(), names.end(), (*it)[1].str());
        commands.push_back({static_cast<deed>(place - names.begin()),
                            static_cast<std::uint8_t>(std::stoul((*it)[2])),
                            static_cast<std::uint8_t>(std::stoul((*it)[3]))});
    }
    return commands;
}

std::ostream& operator<<(std::ostream& out, const command& c)
{
    return out << names.at(static_cast<std::size_t>(c.what)) << '(' << int{c.a}
               << ',' << int{c.b} << ')';
}

} // namespace lovagegate::fuzz
