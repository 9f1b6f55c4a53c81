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

/// Which end of a connection this is.
enum class end : std::uint8_t
{
    dialer,   ///< opened the connection
    acceptor, ///< accepted it
};

enum class session_failure : std::uint8_t
{
    bad_hello,           ///< the first frame is no hello
    unsupported_version, ///< the peer's version is older than this one reads
    not_authentic,       ///< made without the key, or changed on the way
    replayed,            ///< a counter that was there before
    not_open,            ///< a message before the hellos were exchanged
    too_large,
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(session_failure f) noexcept;

/// The connection has to be closed.
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
    opened,  ///< the peer's hello: messages may be sent from now on
    message, ///< an authentic message
    skipped, ///< an authentic message of a type or form this release lacks
};

struct reception
{
    received what = received::skipped;
    std::optional<protocol::envelope> envelope; ///< with received::message
};

/// One connection between two instances, without its socket. Each end sends a
/// hello with a fresh nonce first. Every later frame is an 8-byte counter, an
/// HMAC-SHA256 and the message; its key is derived from the shared key, the
/// direction and both hellos, so that frames of another connection fail.
class session
{
public:
    /// @param which end this is
    /// @param self who this instance is
    /// @param key shared by all instances; must outlive the session
    /// @param nonce fresh random text, see random_nonce
    session(end role, protocol::sender self, const shared_key& key,
            std::string nonce);

    /// @return the frame to be sent first
    [[nodiscard]] const std::string& hello_frame() const noexcept
    {
        return hello_frame_;
    }

    /// @param frame as received, whole
    /// @return what it was
    /// @throws session_error if the connection has to be closed
    [[nodiscard]] reception receive(std::string_view frame);

    /// @param m message to be sent
    /// @return its frame
    /// @throws session_error unless the session is open
    [[nodiscard]] std::string seal(const protocol::message& m);

    [[nodiscard]] bool is_open() const noexcept { return peer_.has_value(); }
    /// @return the other end as its hello names it: proven by its first frame
    [[nodiscard]] const std::optional<protocol::sender>& peer() const noexcept
    {
        return peer_;
    }
    /// @return whether the peer has shown that it holds the key
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

/// Bytes that a frame has besides its message.
inline constexpr std::size_t frame_overhead = 8 + mac_bytes;

} // namespace lovagegate::wire

#endif
