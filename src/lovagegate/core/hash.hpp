#ifndef LOVAGEGATE_CORE_HASH_HPP
#define LOVAGEGATE_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace lovagegate {

/// Hashes bytes with XXH64. The result must be the same on every instance and
/// in every release, since placement, ownership and digests depend on it.
/// @param bytes data to hash
/// @param seed separates uses of the same bytes
/// @return the XXH64 hash
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes,
                                        std::uint64_t seed = 0) noexcept;

/// @return a hash of both values that depends on their order
[[nodiscard]] std::uint64_t combine_hash(std::uint64_t a,
                                         std::uint64_t b) noexcept;

} // namespace lovagegate

#endif
