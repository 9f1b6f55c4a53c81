#include "lovagegate/wire/key.hpp"

#include <fstream>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>

namespace lovagegate::wire {

std::string_view to_string(key_failure f) noexcept
{
    switch (f) {
    case key_failure::unreadable:
        return "cannot be read";
    case key_failure::too_short:
        return "has fewer than 32 bytes";
    case key_failure::too_long:
        return "has more than 4096 bytes";
    case key_failure::open_permission:
        return "may be read by everybody";
    }
    return "invalid";
}

key_error::key_error(key_failure failure, const std::filesystem::path& file)
    : error("key file " + file.string() + " " +
            std::string(to_string(failure))),
      failure_(failure)
{
}

shared_key shared_key::read(const std::filesystem::path& file)
{
    std::error_code ec;
    const auto status = std::filesystem::status(file, ec);
    std::ifstream in(file, std::ios::binary);
    if (ec || !std::filesystem::is_regular_file(status) || !in)
        throw key_error(key_failure::unreadable, file);
    using std::filesystem::perms;
    if ((status.permissions() & perms::others_read) != perms::none)
        throw key_error(key_failure::open_permission, file);
    std::string secret(max_key_bytes + 1, '\0');
    in.read(secret.data(), std::streamsize(secret.size()));
    secret.resize(std::size_t(in.gcount()));
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.size() < min_key_bytes)
        throw key_error(key_failure::too_short, file);
    if (secret.size() > max_key_bytes)
        throw key_error(key_failure::too_long, file);
    return shared_key(std::move(secret));
}

mac shared_key::sign(std::string_view data) const
{
    mac result{};
    unsigned int size = mac_bytes;
    const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(EVP_sha256(), secret_.data(), int(secret_.size()), bytes,
             data.size(), result.data(), &size) == nullptr)
        throw error("HMAC-SHA256 is not available");
    return result;
}

bool equal(const mac& a, std::string_view b) noexcept
{
    return b.size() == a.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_nonce(std::size_t bytes)
{
    std::vector<unsigned char> raw(bytes);
    if (RAND_bytes(raw.data(), int(raw.size())) != 1)
        throw error("the system's random source is not available");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const unsigned char c : raw) {
        result += digits[c >> 4U];
        result += digits[c & 15U];
    }
    return result;
}

} // namespace lovagegate::wire
