#include "lovagegate/wire/session.hpp"

#include <utility>

namespace lovagegate::wire {

namespace {

constexpr std::size_t counter_bytes = 8;
constexpr std::size_t min_nonce_bytes = 16;
constexpr std::size_t max_hello_bytes = 4096;
constexpr std::uint32_t min_peer_version = 1;

std::string counter_text(std::uint64_t counter)
{
    std::string result(counter_bytes, '\0');
    for (std::size_t i = counter_bytes; i-- > 0; counter >>= 8U)
        result[i] = char(counter & 0xffU);
    return result;
}

std::uint64_t read_counter(std::string_view text)
{
    std::uint64_t result = 0;
    for (const char c : text.substr(0, counter_bytes))
        result = (result << 8U) | std::uint8_t(c);
    return result;
}

std::string_view bytes_of(const mac& m)
{
    return {reinterpret_cast<const char*>(m.data()), m.size()};
}

shared_key derive(const shared_key& key, std::string_view direction,
                  std::string_view dialer_hello,
                  std::string_view acceptor_hello)
{
    std::string text(direction);
    text += counter_text(
        dialer_hello
            .size()); // length prefix: marks where the second hello begins
    text += dialer_hello;
    text += acceptor_hello;
    return shared_key(std::string(bytes_of(key.sign(text))));
}

mac sign_frame(const shared_key& key, std::string_view counter,
               std::string_view payload)
{
    std::string text(counter);
    text += payload;
    return key.sign(text);
}

} // namespace

std::string_view to_string(session_failure f) noexcept
{
    switch (f) {
    case session_failure::bad_hello:
        return "bad_hello";
    case session_failure::unsupported_version:
        return "unsupported_version";
    case session_failure::not_authentic:
        return "not_authentic";
    case session_failure::replayed:
        return "replayed";
    case session_failure::not_open:
        return "not_open";
    case session_failure::too_large:
        return "too_large";
    }
    return "invalid";
}

session_error::session_error(session_failure failure)
    : error("peer session: " + std::string(to_string(failure))),
      failure_(failure)
{
}

session::session(end role, protocol::sender self, const shared_key& key,
                 std::string nonce)
    : role_(role), key_(key),
      hello_frame_(encode(
          hello{protocol::protocol_version, std::move(self), std::move(nonce)}))
{
}

void session::open(std::string_view text)
{
    if (text.size() > max_hello_bytes)
        throw session_error(session_failure::bad_hello);
    hello h;
    try {
        h = decode_hello(text);
    } catch (const decode_error&) {
        throw session_error(session_failure::bad_hello);
    }
    if (h.nonce.size() < min_nonce_bytes || h.from.instance.empty())
        throw session_error(session_failure::bad_hello);
    // A newer version is accepted: the newer peer learns this version from our
    // hello and has to support it.
    if (h.version < min_peer_version)
        throw session_error(session_failure::unsupported_version);
    const bool dialer = role_ == end::dialer;
    const std::string peer_hello(text);
    const std::string& dialer_hello = dialer ? hello_frame_ : peer_hello;
    const std::string& acceptor_hello = dialer ? peer_hello : hello_frame_;
    shared_key from_dialer =
        derive(key_, "from dialer", dialer_hello, acceptor_hello);
    shared_key from_acceptor =
        derive(key_, "from acceptor", dialer_hello, acceptor_hello);
    send_key_ = dialer ? from_dialer : from_acceptor;
    receive_key_ = dialer ? from_acceptor : from_dialer;
    peer_ = std::move(h.from);
}

reception session::receive(std::string_view frame)
{
    if (!is_open()) {
        open(frame);
        return {received::opened, std::nullopt};
    }
    if (frame.size() > frame_overhead + max_message_bytes)
        throw session_error(session_failure::too_large);
    if (frame.size() < frame_overhead)
        throw session_error(session_failure::not_authentic);
    const std::string_view counter = frame.substr(0, counter_bytes);
    const std::string_view code = frame.substr(counter_bytes, mac_bytes);
    const std::string_view payload = frame.substr(frame_overhead);
    if (!equal(sign_frame(*receive_key_, counter, payload), code))
        throw session_error(session_failure::not_authentic);
    const std::uint64_t counter_value = read_counter(counter);
    if (counter_value <= received_counter_)
        throw session_error(session_failure::replayed);
    received_counter_ = counter_value;
    try {
        std::optional<protocol::message> m = decode(payload);
        if (m)
            return {received::message,
                    protocol::envelope{*peer_, std::move(*m)}};
    } catch (const decode_error&) {
        // An authentic message that cannot be decoded comes from a newer
        // release: skip it, as an unknown message type is skipped.
    }
    return {received::skipped, std::nullopt};
}

std::string session::seal(const protocol::message& m)
{
    if (!is_open())
        throw session_error(session_failure::not_open);
    const std::string payload = encode(m);
    if (payload.size() > max_message_bytes)
        throw session_error(session_failure::too_large);
    std::string frame = counter_text(++sent_counter_);
    const mac code = sign_frame(*send_key_, frame, payload);
    frame += bytes_of(code);
    frame += payload;
    return frame;
}

} // namespace lovagegate::wire
