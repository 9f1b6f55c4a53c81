#ifndef LOVAGEGATE_REVIEW_STANDIN_NET_HPP
#define LOVAGEGATE_REVIEW_STANDIN_NET_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::review {

using std::chrono::milliseconds;

/// Head and body of a request or of an answer.
struct message
{
    std::string method;                         ///< of a request
    std::string target;                         ///< of a request
    int status = 0;                             ///< of an answer; 0: none
    std::map<std::string, std::string> headers; ///< by name in lower case
    std::string body;
    bool whole = false; ///< the body is complete

    /// @return value of a header, empty if it is missing
    [[nodiscard]] std::string header(const std::string& lower_name) const;
};

/// A TCP connection with blocking calls.
class channel
{
public:
    explicit channel(int fd) noexcept : fd_(fd) {}
    /// Connects; is_open() tells whether that succeeded.
    channel(const std::string& ip, std::uint16_t port);
    ~channel();
    channel(channel&& other) noexcept;
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel& operator=(channel&&) = delete;

    [[nodiscard]] bool is_open() const noexcept { return fd_ >= 0; }
    [[nodiscard]] int fd() const noexcept { return fd_; }
    bool write(std::string_view data);
    /// Reads one request or answer.
    /// @return nothing if the connection ended or the time is over before the
    ///         head was complete
    std::optional<message> read(milliseconds limit);
    /// @return whether the peer has closed or reset the connection
    [[nodiscard]] bool has_peer_left() const;
    /// Resets the connection.
    void reset();

private:
    bool fill(milliseconds limit);
    void read_chunks(message& m, milliseconds limit);

    int fd_ = -1;
    std::string unread_;
};

/// Serves each connection in a thread of its own until the process ends.
/// @param ip address to listen on
/// @param port 0: any free one
/// @param serve called with each request; returns false to close
/// @return the port, 0 if it can't be used
std::uint16_t
listen_on(const std::string& ip, std::uint16_t port,
          std::function<bool(channel&, const message& request)> serve);

/// @return different ports that no program uses on the address
std::vector<std::uint16_t> free_ports(const std::string& ip, int count);

/// @return an answer with a body of known length
std::string answer(int status, const std::string& headers,
                   std::string_view body);

} // namespace lovagegate::review

#endif
