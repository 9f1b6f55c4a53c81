#ifndef LOVAGEGATE_WIRE_SESSION_HPP
#define LOVAGEGATE_WIRE_SESSION_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/wire/codec.hpp"
#include "lovagegate/wire/key.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::wire {

/// Role of this end of a connection.
enum class end : std::uint8_t
{
    dialer,   ///< opened the connection
    acceptor, ///< accepted it
};

enum class session_failure : std::uint8_t
{
    bad_hello,           ///< the first frame is not a valid hello
    unsupported_version, ///< the peer's protocol version is too old
    not_authentic,       ///< the MAC of the frame does not match
    replayed,            ///< the counter is not above the last one received
    not_open,            ///< no hello has been received yet
    too_large,           ///< the message exceeds max_message_bytes
};

/// @return the name used in metrics
[[nodiscard]] std::string_view to_string(session_failure f) noexcept;

/// Thrown when the connection has to be closed.
class session_error : public error
{
public:
    explicit session_error(session_failure failure);

    [[nodiscard]] session_failure failure() const noexcept { return failure_; }

private:
    session_failure failure_;
};

enum class received : std::uint8_t
{
    opened,  ///< the peer's hello: the session is now open
    message, ///< an authentic message
    skipped, ///< an authentic message that this release cannot decode
};

struct reception
{
    received what = received::skipped;
    std::optional<protocol::envelope> envelope; ///< set if what is message
};

/// Authenticates the frames of one connection between two instances; does no
/// I/O. Each end first sends a hello with a fresh nonce. Every later frame
/// consists of an 8-byte counter, an HMAC-SHA256 and the message. The HMAC key
/// is derived from the shared key, the direction and both hellos, so that
/// frames of other connections are rejected.
class session
{
public:
    /// @param role whether this end dialed or accepted the connection
    /// @param self identifier and start of this instance
    /// @param key key shared by all instances; must outlive the session
    /// @param nonce fresh random text from random_nonce()
    session(end role, protocol::sender self, const shared_key& key,
            std::string nonce);

    /// @return the first frame to send
    [[nodiscard]] const std::string& hello_frame() const noexcept
    {
        return hello_frame_;
    }

    /// Verifies and decodes a received frame.
    /// @param frame complete frame
    /// @return kind of the frame, and its message if there is one
    /// @throws session_error if the connection has to be closed
    [[nodiscard]] reception receive(std::string_view frame);

    /// Encodes and authenticates a message.
    /// @param m message to send
    /// @return the frame that carries it
    /// @throws session_error unless the session is open
    [[nodiscard]] std::string seal(const protocol::message& m);

    [[nodiscard]] bool is_open() const noexcept { return peer_.has_value(); }
    /// @return the sender named in the peer's hello; not authenticated until
    /// is_proven()
    [[nodiscard]] const std::optional<protocol::sender>& peer() const noexcept
    {
        return peer_;
    }
    /// @return whether an authentic frame proved that the peer holds the key
    [[nodiscard]] bool is_proven() const noexcept
    {
        return received_counter_ > 0;
    }

private:
    void open(std::string_view hello_text);

    end role_;
    const shared_key& key_;
    std::string hello_frame_;
    std::optional<protocol::sender> peer_;
    std::optional<shared_key> send_key_;
    std::optional<shared_key> receive_key_;
    std::uint64_t sent_counter_ = 0;
    std::uint64_t received_counter_ = 0;
};

/// Bytes of a frame besides its message: the counter and the HMAC.
inline constexpr std::size_t frame_overhead = 8 + mac_bytes;

} // namespace lovagegate::wire

#endif
