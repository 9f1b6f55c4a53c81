#ifndef LOVAGEGATE_WIRE_CODEC_HPP
#define LOVAGEGATE_WIRE_CODEC_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Encoding, decoding and authentication of the messages between instances.
namespace lovagegate::wire {

/// Maximum size of an encoded message; holds a ticket of 1 MB after JSON
/// escaping.
inline constexpr std::size_t max_message_bytes = std::size_t(4) * 1024 * 1024;

enum class decode_failure : std::uint8_t
{
    too_large,    ///< longer than max_message_bytes
    not_json_rpc, ///< not a JSON-RPC 2.0 notification
    wrong_type,   ///< a field has an unexpected type
    bad_value,    ///< a number outside its range, or too many elements
};

/// @return the name used in metrics
[[nodiscard]] std::string_view to_string(decode_failure f) noexcept;

class decode_error : public error
{
public:
    /// @param failure the kind of failure
    /// @param field name of the invalid field; empty for the whole text
    decode_error(decode_failure failure, std::string_view field);

    [[nodiscard]] decode_failure failure() const noexcept { return failure_; }

private:
    decode_failure failure_;
};

/// First message on a connection, in both directions.
struct hello
{
    std::uint32_t version = protocol::protocol_version;
    protocol::sender from;
    std::string nonce; ///< fresh random bytes in hexadecimal
};

/// @return a JSON-RPC 2.0 notification whose method names the message type
[[nodiscard]] std::string encode(const protocol::message& m);
/// @copydoc encode(const protocol::message&)
[[nodiscard]] std::string encode(const hello& h);

/// Decodes a message. Unknown fields are ignored and absent fields keep their
/// defaults, so that different releases interoperate.
/// @param text a JSON-RPC 2.0 notification
/// @return the message; empty if this release does not know its type
/// @throws decode_error if the text cannot be decoded
[[nodiscard]] std::optional<protocol::message> decode(std::string_view text);

/// Decodes a hello.
/// @throws decode_error if the text is not a hello
[[nodiscard]] hello decode_hello(std::string_view text);

} // namespace lovagegate::wire

#endif
