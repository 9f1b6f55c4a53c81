#include "lovagegate/settings/problem.hpp"

#include <utility>

namespace lovagegate::settings {

namespace {

std::string join(const std::vector<problem>& problems)
{
    std::string text;
    for (const problem& p : problems) {
        text += text.empty() ? "" : "\n";
        text += to_string(p);
    }
    return text;
}

} // namespace

std::string to_string(const problem& p)
{
    std::string text = p.file;
    if (p.line > 0) {
        text += ':' + std::to_string(p.line);
    }
    if (!p.key.empty()) {
        text += ": " + p.key;
    }
    text += ": expected " + p.expected;
    if (!p.found.empty()) {
        text += ", found '" + p.found + '\'';
    }
    return text;
}

settings_error::settings_error(std::vector<problem> problems)
    : error(join(problems)), problems_(std::move(problems))
{
}

} // namespace lovagegate::settings
