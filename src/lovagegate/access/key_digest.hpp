#ifndef LOVAGEGATE_ACCESS_KEY_DIGEST_HPP
#define LOVAGEGATE_ACCESS_KEY_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::access {

/// What an instance keeps of a caller's key, and sends to other instances
/// instead of it: the key can't be derived from it.
struct key_digest
{
    std::array<std::uint8_t, 16> bytes{};

    friend bool operator==(const key_digest&, const key_digest&) = default;
};

/// @return the first half of the key's SHA-256 digest
[[nodiscard]] key_digest digest_of(std::string_view key);

/// @return the digest in hexadecimal digits
[[nodiscard]] std::string to_string(const key_digest& digest);

/// @param text as written by to_string()
/// @return nothing if the text is not a digest
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);

} // namespace lovagegate::access

#endif
