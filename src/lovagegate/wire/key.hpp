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
    unreadable,
    too_short,       ///< under min_key_bytes
    too_long,        ///< over max_key_bytes
    open_permission, ///< others than the owner's group may read the file
};

/// @return the name used in messages to the operator
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

    /// @param secret the key's bytes
    explicit shared_key(std::string secret) : secret_(std::move(secret)) {}

    /// @param file whose bytes, without line ends at its end, are the key
    /// @throws key_error
    [[nodiscard]] static shared_key read(const std::filesystem::path& file);

    /// @param data what is to be authenticated
    /// @return its HMAC-SHA256 under the key
    [[nodiscard]] mac sign(std::string_view data) const;

private:
    std::string secret_;
};

/// Compares in constant time.
[[nodiscard]] bool equal(const mac& a, std::string_view b) noexcept;

/// @return bytes of the system's random source, in hexadecimal
/// @param bytes how many
[[nodiscard]] std::string random_nonce(std::size_t bytes = 16);

} // namespace lovagegate::wire

#endif
