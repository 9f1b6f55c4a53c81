#ifndef LOVAGEGATE_REVIEW_STANDIN_3_HTTP_HPP
#define LOVAGEGATE_REVIEW_STANDIN_3_HTTP_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_message.hpp"
#include "lovagegate/net/tcp_stream.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace lovagegate::review {

/// One connection of a peer to a server; it serves one request at a time.
class server_connection;
using connection_ptr = std::shared_ptr<server_connection>;

/// One request as it arrived.
struct request
{
    net::message_head head;
    std::string body;
    time_point arrived{};

    [[nodiscard]] std::string header(std::string_view name) const
    {
        return std::string(head.header(name));
    }
};

/// HTTP server whose handler writes the bytes of the answers itself.
class http_server
{
public:
    using handler = std::function<void(const connection_ptr&, const request&)>;

    /// @param at address; port 0 for a free one
    http_server(net::event_loop& loop, const settings::endpoint& at,
                handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// Resets all connections and refuses new ones until open().
    void crash();
    void open();

private:
    friend class server_connection;
    void drop(server_connection& c);

    net::event_loop& loop_;
    settings::endpoint at_;
    handler on_request_;
    std::list<connection_ptr> connections_;
    std::list<connection_ptr> dropped_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::uint16_t port_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class server_connection final
    : public std::enable_shared_from_this<server_connection>,
      private net::stream_handler
{
public:
    server_connection(http_server& server, net::event_loop& loop, int fd);

    [[nodiscard]] bool is_open() const noexcept { return open_; }
    void write(std::string_view bytes);
    /// Ends the answer; the next request may be read.
    void finish();
    /// Breaks the connection.
    void reset();
    /// Ends the connection in order.
    void close();

    /// Bytes that are sent where the answer to the next request is expected.
    std::string extra;
    /// Called when the peer closes the connection before the answer's end.
    std::function<void()> on_left;

private:
    bool on_data(std::string_view data) override;
    void on_end(net::stream_end how) override;
    void read_on();

    friend class http_server;
    http_server& server_;
    net::event_loop& loop_;
    net::message_reader reader_;
    net::tcp_stream stream_;
    std::string unread_;
    std::string body_;
    bool busy_ = false;
    bool open_ = true;
    bool reading_ = false;
};

/// What a client got.
struct answer
{
    int status = 0; ///< 0: no answer
    net::message_head head;
    std::string body;
    bool complete = false;
    bool refused = false; ///< nothing listens at the address
    duration time{};
};

/// One request of a client, on a connection of its own.
class client_call final : private net::stream_handler
{
public:
    using handler = std::function<void(const answer&)>;

    client_call(net::event_loop& loop, const settings::endpoint& to,
                std::string bytes, duration limit, handler done);
    ~client_call();
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    [[nodiscard]] bool is_done() const noexcept { return done_called_; }

private:
    void on_connected() override;
    bool on_data(std::string_view data) override;
    void on_end(net::stream_end how) override;
    void finish();

    net::event_loop& loop_;
    std::string bytes_;
    handler done_;
    time_point since_;
    net::message_reader reader_;
    answer answer_;
    bool done_called_ = false;
    net::timer_id timer_ = 0;
    std::unique_ptr<net::tcp_stream> stream_;
};

/// Keeps calls until they have ended.
class clients
{
public:
    explicit clients(net::event_loop& loop) : loop_(loop) {}

    void send(const settings::endpoint& to, std::string bytes, duration limit,
              client_call::handler done);
    [[nodiscard]] std::size_t open() const;

private:
    net::event_loop& loop_;
    std::list<std::unique_ptr<client_call>> calls_;
};

/// @return a whole message with a length
[[nodiscard]] std::string whole_answer(int status, const std::string& headers,
                                       const std::string& body);

} // namespace lovagegate::review

#endif
