#include "lovagegate/access/authentication.hpp"

#include <algorithm>

namespace lovagegate::access {

namespace {

constexpr int unauthorized = 401;
constexpr int unavailable = 503;

/// @return what the request counts as towards the workspace's rate limit
double cost_of(const gateway::workspace_spec& workspace,
               const gateway::request_facts& facts)
{
    if (workspace.unit == gateway::quota_unit::requests)
        return 1;
    const double tokens = facts.token_count
                              ? static_cast<double>(*facts.token_count)
                              : workspace.plain_tokens;
    return std::min<double>(tokens, max_request_tokens);
}

} // namespace

std::string_view to_string(key_failure f) noexcept
{
    switch (f) {
    case key_failure::missing:
        return "missing";
    case key_failure::repeated:
        return "repeated";
    case key_failure::unknown:
        return "unknown";
    case key_failure::may_be_new:
        return "may_be_new";
    }
    return "invalid";
}

std::string_view explanation(key_failure f) noexcept
{
    switch (f) {
    case key_failure::missing:
        return "no key";
    case key_failure::repeated:
        return "more than one key";
    case key_failure::unknown:
        return "unknown key";
    case key_failure::may_be_new:
        return "the key may be new";
    }
    return "invalid";
}

int answer_status(key_failure f) noexcept
{
    return f == key_failure::may_be_new ? unavailable : unauthorized;
}

authentication authenticate(const workspace_table& workspaces,
                            const gateway::request_facts& facts,
                            const gateway::route& r, bool is_current)
{
    authentication out;
    out.identity.rank = r.rank;
    if (!workspaces.needs_keys())
        return out;
    if (facts.key_repeated) {
        out.failure = key_failure::repeated;
    } else if (facts.key.empty()) {
        out.failure = key_failure::missing;
    } else if (auto workspace = workspaces.find(facts.key)) {
        out.identity.rank = workspace->rank.value_or(r.rank);
        out.identity.tokens = cost_of(*workspace, facts);
        out.identity.workspace = std::move(workspace);
    } else {
        out.failure =
            is_current ? key_failure::unknown : key_failure::may_be_new;
    }
    if (r.anonymous)
        out.failure = std::nullopt;
    return out;
}

} // namespace lovagegate::access
