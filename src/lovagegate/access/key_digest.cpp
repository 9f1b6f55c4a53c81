#include "lovagegate/access/key_digest.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace lovagegate::access {

key_digest digest_of(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> whole{};
    unsigned int size = 0;
    if (EVP_Digest(key.data(), key.size(), whole.data(), &size, EVP_sha256(),
                   nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    key_digest out;
    std::copy_n(whole.begin(), out.bytes.size(), out.bytes.begin());
    return out;
}

std::string to_string(const key_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(2 * digest.bytes.size());
    for (const std::uint8_t byte : digest.bytes) {
        out += digits[byte >> 4U];
        out += digits[byte & 0xfU];
    }
    return out;
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    constexpr int hexadecimal = 16;
    key_digest out;
    if (text.size() != 2 * out.bytes.size())
        return std::nullopt;
    for (auto& byte : out.bytes) {
        const char* const end = text.data() + 2;
        const auto read = std::from_chars(text.data(), end, byte, hexadecimal);
        if (read.ec != std::errc() || read.ptr != end)
            return std::nullopt;
        text.remove_prefix(2);
    }
    return out;
}

} // namespace lovagegate::access
