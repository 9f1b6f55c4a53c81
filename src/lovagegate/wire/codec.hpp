#ifndef LOVAGEGATE_WIRE_CODEC_HPP
#define LOVAGEGATE_WIRE_CODEC_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Messages between instances as bytes.
namespace lovagegate::wire {

/// Largest text of one message in bytes: a ticket of 1 MB, escaped.
inline constexpr std::size_t max_message_bytes = std::size_t(4) * 1024 * 1024;

enum class decode_failure : std::uint8_t
{
    too_large,
    not_json_rpc, ///< no JSON-RPC 2.0 notification
    wrong_type,   ///< a field of another type than expected
    bad_value,    ///< a number outside its range, or too many elements
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(decode_failure f) noexcept;

class decode_error : public error
{
public:
    /// @param failure the kind of failure
    /// @param field the field at fault, empty for the whole text
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

/// Unknown fields are ignored and absent ones keep their defaults, so that two
/// releases understand each other.
/// @param text a JSON-RPC 2.0 notification
/// @return the message; none if its type is not known to this release
/// @throws decode_error if it cannot be read
[[nodiscard]] std::optional<protocol::message> decode(std::string_view text);

/// @return the hello
/// @throws decode_error if it is none
[[nodiscard]] hello decode_hello(std::string_view text);

} // namespace lovagegate::wire

#endif
