#ifndef LOVAGEGATE_WIRE_KEY_HPP
#define LOVAGEGATE_WIRE_KEY_HPP

#include "lovagegate/core/error.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace lovagegate::wire {

/// Size of an HMAC-SHA256 code in bytes.
inline constexpr std::size_t mac_bytes = 32;

using mac = std::array<std::uint8_t, mac_bytes>;

enum class key_failure : std::uint8_t
{
    unreadable,      ///< missing, not a regular file, or not readable
    too_short,       ///< fewer than min_key_bytes
    too_long,        ///< more than max_key_bytes
    open_permission, ///< others than owner and group may read the file
};

/// @return the text used in error messages
[[nodiscard]] std::string_view to_string(key_failure f) noexcept;

class key_error : public error
{
public:
    key_error(key_failure failure, const std::filesystem::path& file);

    [[nodiscard]] key_failure failure() const noexcept { return failure_; }

private:
    key_failure failure_;
};

/// The key that all instances of a deployment share.
class shared_key
{
public:
    static constexpr std::size_t min_key_bytes = 32;
    static constexpr std::size_t max_key_bytes = 4096;

    /// @param secret bytes of the key
    explicit shared_key(std::string secret) : secret_(std::move(secret)) {}

    /// Reads a key from a file, without trailing line breaks.
    /// @param file regular file without read permission for others
    /// @throws key_error if the file or the key is not valid
    [[nodiscard]] static shared_key read(const std::filesystem::path& file);

    /// @param data data to authenticate
    /// @return HMAC-SHA256 of the data under the key
    [[nodiscard]] mac sign(std::string_view data) const;

private:
    std::string secret_;
};

/// Compares two MACs in constant time.
[[nodiscard]] bool equal(const mac& a, std::string_view b) noexcept;

/// @param bytes number of random bytes
/// @return bytes from OpenSSL's random generator, in hexadecimal
[[nodiscard]] std::string random_nonce(std::size_t bytes = 16);

} // namespace lovagegate::wire

#endif
