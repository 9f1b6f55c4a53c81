#include "lovagegate/placement/rendezvous.hpp"

#include "lovagegate/core/hash.hpp"

namespace lovagegate::placement {

std::uint64_t weight(std::string_view key, std::string_view member) noexcept
{
    return stable_hash(member, stable_hash(key));
}

} // namespace lovagegate::placement
