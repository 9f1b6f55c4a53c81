#ifndef LOVAGEGATE_STANDINS_SITE_SCRIPTED_SERVER_HPP
#define LOVAGEGATE_STANDINS_SITE_SCRIPTED_SERVER_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_message.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::standins {

/// What a scripted server does to a connection.
enum class then : std::uint8_t
{
    go_on, ///< keeps it
    close, ///< ends it in order
    reset, ///< breaks it
    repeat ///< takes the same step again, until the peer closes
};

/// One part of an answer.
struct script_step
{
    std::string bytes;
    duration delay{}; ///< before the bytes
    then after = then::go_on;
};

using script = std::vector<script_step>;

/// One request as it arrived.
struct seen_request
{
    net::message_head head;
    std::string body;
};

/// HTTP server whose answers are bytes of the test's choice, well formed or
/// not.
class scripted_server
{
public:
    /// @param answer runs on the loop's thread, once for each request
    scripted_server(net::event_loop& loop,
                    std::function<script(const seen_request&)> answer);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// @return the port on 127.0.0.1
    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

    /// Called when a caller leaves before its answer has ended.
    std::function<void()> on_left;

    /// Called with the size of each part that was written.
    std::function<void(std::size_t bytes)> on_written;

private:
    class connection;
    void drop(connection& c);

    net::event_loop& loop_;
    std::function<script(const seen_request&)> answer_;
    std::list<std::unique_ptr<connection>> connections_;
    std::list<std::unique_ptr<connection>> dropped_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::tcp_listener listener_;
};

/// @return a whole answer with a length
[[nodiscard]] std::string whole_answer(int status,
                                       const std::vector<std::string>& headers,
                                       const std::string& body);

} // namespace lovagegate::standins

#endif
