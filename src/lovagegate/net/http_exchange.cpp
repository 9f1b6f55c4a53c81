#include "lovagegate/net/http_exchange.hpp"

#include "lovagegate/net/internal/server_connection.hpp"

#include <array>
#include <charconv>

namespace lovagegate::net {

namespace {

std::string chunk_size_line(std::size_t size)
{
    std::array<char, 2 * sizeof size> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, 16)
            .ptr;
    return std::string(digits.data(), end) + "\r\n";
}

} // namespace

exchange::exchange(internal::server_connection& connection,
                   http_request request)
    : connection_(&connection), request_(std::move(request))
{
}

void exchange::respond(int status, const header_list& headers,
                       std::string_view body)
{
    if (!connection_ || state_ != state::waiting)
        return;
    header_list all = headers;
    all.push_back({"content-length", std::to_string(body.size())});
    connection_->append(connection_->format_head(status, all));
    if (request_.method != "HEAD")
        connection_->append(body);
    state_ = state::finished;
    connection_->end_answer();
}

void exchange::start(int status, const header_list& headers)
{
    if (!connection_ || state_ != state::waiting)
        return;
    chunked_ = connection_->supports_chunked();
    header_list all = headers;
    if (chunked_)
        all.push_back({"transfer-encoding", "chunked"});
    else
        all.push_back({"connection", "close"});
    connection_->append(connection_->format_head(status, all));
    state_ = state::streaming;
}

void exchange::write(std::string_view data)
{
    if (!connection_ || state_ != state::streaming || data.empty())
        return;
    if (!chunked_) {
        connection_->append(data);
        return;
    }
    connection_->append(chunk_size_line(data.size()));
    connection_->append(data);
    connection_->append("\r\n");
}

void exchange::finish()
{
    if (!connection_ || state_ != state::streaming)
        return;
    state_ = state::finished;
    if (chunked_)
        connection_->append("0\r\n\r\n");
    else
        connection_->close_after_answer();
    connection_->end_answer();
}

void exchange::abort()
{
    if (!connection_)
        return;
    state_ = state::finished;
    on_closed_ = nullptr;
    connection_->abort();
}

void exchange::close_unfinished()
{
    if (!connection_ || state_ != state::streaming)
        return;
    state_ = state::finished;
    connection_->close_after_answer();
    connection_->end_answer();
}

std::size_t exchange::buffered() const noexcept
{
    return connection_ ? connection_->buffered() : 0;
}

} // namespace lovagegate::net
