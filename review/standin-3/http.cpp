#include "review/standin-3/http.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::review {

namespace {

constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;

} // namespace

http_server::http_server(net::event_loop& loop, const settings::endpoint& at,
                         handler on_request)
    : loop_(loop), at_(at), on_request_(std::move(on_request))
{
    open();
}

http_server::~http_server()
{
    *alive_ = false;
}

void http_server::open()
{
    if (listener_)
        return;
    listener_ = std::make_unique<net::tcp_listener>(loop_, at_, [this](int fd) {
        connections_.push_back(
            std::make_shared<server_connection>(*this, loop_, fd));
    });
    port_ = at_.port = listener_->port();
}

void http_server::crash()
{
    listener_.reset();
    const auto all = connections_;
    for (const auto& c : all)
        c->reset();
}

void http_server::drop(server_connection& c)
{
    const auto it = std::ranges::find(connections_, &c, &connection_ptr::get);
    if (it == connections_.end())
        return;
    dropped_.splice(dropped_.end(), connections_, it);
    loop_.call_later(duration::zero(), [this, alive = alive_] {
        if (*alive)
            dropped_.clear();
    });
}

server_connection::server_connection(http_server& server, net::event_loop& loop,
                                     int fd)
    : server_(server), loop_(loop),
      reader_(net::message_reader::kind::requests, max_head_bytes),
      stream_(loop, fd, *this)
{
}

bool server_connection::on_data(std::string_view data)
{
    unread_.append(data);
    read_on();
    return open_;
}

void server_connection::read_on()
{
    if (std::exchange(reading_, true))
        return;
    const auto self = shared_from_this();
    while (open_ && !busy_ && !unread_.empty()) {
        const std::string data = std::exchange(unread_, {});
        const auto progress = reader_.read(
            data, [](net::message_head&) {},
            [this](std::string_view part) { body_ += part; });
        unread_ = data.substr(std::min(progress.used, data.size()));
        if (progress.failure != net::parse_failure::none) {
            reset();
            break;
        }
        if (!progress.complete)
            continue;
        busy_ = true;
        const request r{reader_.head(), std::exchange(body_, {}),
                        net::event_loop::now().mono};
        reader_.start();
        if (!extra.empty())
            write(std::exchange(extra, {}));
        server_.on_request_(self, r);
    }
    reading_ = false;
}

void server_connection::write(std::string_view bytes)
{
    if (open_)
        stream_.write(bytes);
}

void server_connection::finish()
{
    on_left = nullptr;
    if (!std::exchange(busy_, false) || !open_)
        return;
    loop_.call_later(duration::zero(), [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->open_)
            self->read_on();
    });
}

void server_connection::reset()
{
    if (!std::exchange(open_, false))
        return;
    const auto self = shared_from_this();
    stream_.abort_on_close();
    if (const auto left = std::exchange(on_left, nullptr))
        left();
    server_.drop(*this);
}

void server_connection::close()
{
    if (open_)
        stream_.end_writing();
}

void server_connection::on_end(net::stream_end)
{
    if (!std::exchange(open_, false))
        return;
    const auto self = shared_from_this();
    if (const auto left = std::exchange(on_left, nullptr))
        left();
    server_.drop(*this);
}

client_call::client_call(net::event_loop& loop, const settings::endpoint& to,
                         std::string bytes, duration limit, handler done)
    : loop_(loop), bytes_(std::move(bytes)), done_(std::move(done)),
      since_(net::event_loop::now().mono),
      reader_(net::message_reader::kind::responses, max_head_bytes)
{
    timer_ = loop_.call_later(limit, [this] {
        timer_ = 0;
        finish();
    });
    net::stream_handler& self = *this;
    stream_ = std::make_unique<net::tcp_stream>(loop, to, limit, self);
    stream_->write(bytes_);
}

client_call::~client_call()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
}

void client_call::on_connected() {}

bool client_call::on_data(std::string_view data)
{
    if (done_called_)
        return true;
    const auto progress = reader_.read(
        data,
        [this](net::message_head& head) {
            answer_.status = head.status;
            answer_.head = head;
        },
        [this](std::string_view part) { answer_.body += part; });
    if (progress.complete)
        answer_.complete = true;
    if (progress.complete || progress.failure != net::parse_failure::none)
        finish();
    return true;
}

void client_call::on_end(net::stream_end how)
{
    if (how == net::stream_end::end_of_data && reader_.end_of_data())
        answer_.complete = true;
    answer_.refused = how == net::stream_end::connect_failed;
    finish();
}

void client_call::finish()
{
    if (std::exchange(done_called_, true))
        return;
    answer_.time = net::event_loop::now().mono - since_;
    if (!answer_.complete)
        stream_->abort_on_close();
    if (done_)
        done_(answer_);
}

void clients::send(const settings::endpoint& to, std::string bytes,
                   duration limit, client_call::handler done)
{
    std::erase_if(calls_, [](const auto& c) { return c->is_done(); });
    calls_.push_back(std::make_unique<client_call>(loop_, to, std::move(bytes),
                                                   limit, std::move(done)));
}

std::size_t clients::open() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        calls_, [](const auto& c) { return !c->is_done(); }));
}

std::string whole_answer(int status, const std::string& headers,
                         const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace lovagegate::review
