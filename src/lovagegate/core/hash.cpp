#include "lovagegate/core/hash.hpp"

#include <array>
#include <xxhash.h>

namespace lovagegate {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hash(std::uint64_t a, std::uint64_t b) noexcept
{
    const std::array<std::uint64_t, 2> both{a, b};
    return XXH64(both.data(), sizeof both, 0);
}

} // namespace lovagegate
