#include "lovagegate/protocol/messages.hpp"

namespace lovagegate::protocol {

std::string_view to_string(claim_verdict v) noexcept
{
    switch (v) {
    case claim_verdict::go:
        return "go";
    case claim_verdict::running:
        return "running";
    case claim_verdict::done:
        return "done";
    case claim_verdict::unknown:
        return "unknown";
    case claim_verdict::conflict:
        return "conflict";
    case claim_verdict::stale:
        return "stale";
    case claim_verdict::not_home:
        return "not_home";
    case claim_verdict::full:
        return "full";
    }
    return "invalid";
}

} // namespace lovagegate::protocol
