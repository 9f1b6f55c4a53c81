#ifndef LOVAGEGATE_REVIEW_STANDIN_2_HTTP_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_HTTP_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
void sleep_until_ms(std::int64_t at);

/// IP address and port; all are loopback addresses.
struct endpoint
{
    std::string address;
    int port = 0;
};

/// Request or answer with a body of known length.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// @return value of a header, empty if it is missing
    [[nodiscard]] std::string header(const std::string& name) const;
    /// @return word of the first line
    [[nodiscard]] std::string word(std::size_t number) const;
};

/// Reads one message.
/// @param rest bytes that were received after the message before
/// @return nothing if the connection ended or the message is malformed
std::optional<message> read_message(int fd, std::string& rest);

/// @return whether all bytes were handed to the kernel
bool send_all(int fd, std::string_view data);

/// @return connected socket, or -1
int connect_to(const endpoint& to, std::int64_t timeout_ms);

/// @return port that is free on all of these addresses
int find_free_port(const std::vector<std::string>& addresses);

/// Accepts connections and runs a handler for each in its own thread.
class server
{
public:
    using handler = std::function<void(int fd)>;

    server(const endpoint& at, handler on_connection);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Closes the listening socket and resets all connections.
    void stop();

private:
    void accept_connections();

    handler on_connection_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

} // namespace review

#endif
