#include "standins/site/scripted_server.hpp"

#include <algorithm>
#include <deque>

namespace lovagegate::standins {

namespace {

constexpr std::size_t longest_head = std::size_t{64} * 1024;

} // namespace

/// One connection; it answers one request after the other.
class scripted_server::connection final : private net::stream_handler
{
public:
    connection(scripted_server& server, int fd)
        : server_(server),
          reader_(net::message_reader::kind::requests, longest_head),
          stream_(server.loop_, fd, *this)
    {
    }

    ~connection() { *alive_ = false; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

private:
    bool on_data(std::string_view data) override
    {
        while (!data.empty()) {
            const auto progress = reader_.read(
                data, [](net::message_head&) {},
                [this](std::string_view part) { body_ += part; });
            data.remove_prefix(std::min(progress.used, data.size()));
            if (progress.failure != net::parse_failure::none) {
                server_.drop(*this);
                return false;
            }
            if (!progress.complete)
                continue;
            const seen_request request{reader_.head(), std::move(body_)};
            body_.clear();
            reader_.start();
            // What is still to be sent to an earlier request goes first.
            const bool idle = steps_.empty();
            for (auto& step : server_.answer_(request))
                steps_.push_back(std::move(step));
            if (idle)
                next_step();
        }
        return true;
    }

    void next_step()
    {
        if (steps_.empty())
            return;
        const duration delay = steps_.front().delay;
        if (delay == duration::zero()) {
            take_step();
            return;
        }
        server_.loop_.call_later(delay, [this, alive = alive_] {
            if (*alive)
                take_step();
        });
    }

    void take_step()
    {
        if (steps_.front().after == then::repeat) {
            repeat_step();
            return;
        }
        const script_step step = std::move(steps_.front());
        steps_.pop_front();
        write(step.bytes);
        if (step.after == then::go_on) {
            next_step();
            return;
        }
        steps_.clear();
        if (step.after == then::reset) {
            stream_.abort_on_close();
            server_.drop(*this);
        } else {
            stream_.end_writing();
        }
    }

    void write(std::string_view bytes)
    {
        stream_.write(bytes);
        if (server_.on_written)
            server_.on_written(bytes.size());
    }

    void repeat_step()
    {
        // What the peer doesn't read is not added to.
        waits_for_peer_ = stream_.unsent() > 0;
        if (waits_for_peer_)
            return;
        write(steps_.front().bytes);
        // From the loop, so that other connections get their turn.
        server_.loop_.call_later(steps_.front().delay, [this, alive = alive_] {
            if (*alive)
                repeat_step();
        });
    }

    void on_drained() override
    {
        if (waits_for_peer_)
            repeat_step();
    }

    void on_end(net::stream_end) override
    {
        if (!steps_.empty() && server_.on_left)
            server_.on_left();
        server_.drop(*this);
    }

    friend class scripted_server;
    scripted_server& server_;
    net::message_reader reader_;
    net::tcp_stream stream_;
    std::string body_;
    std::deque<script_step> steps_; ///< still to be taken
    bool waits_for_peer_ = false;   ///< to read what was written
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

scripted_server::scripted_server(
    net::event_loop& loop, std::function<script(const seen_request&)> answer)
    : loop_(loop), answer_(std::move(answer)),
      listener_(loop, {"127.0.0.1", 0}, [this](int fd) {
          connections_.push_back(std::make_unique<connection>(*this, fd));
      })
{
}

scripted_server::~scripted_server()
{
    *alive_ = false;
}

void scripted_server::drop(connection& c)
{
    const auto it =
        std::ranges::find(connections_, &c, &std::unique_ptr<connection>::get);
    if (it == connections_.end())
        return;
    dropped_.splice(dropped_.end(), connections_, it);
    loop_.call_later(duration::zero(), [this, alive = alive_] {
        if (*alive)
            dropped_.clear();
    });
}

std::string whole_answer(int status, const std::vector<std::string>& headers,
                         const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& h : headers)
        out += h + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

} // namespace lovagegate::standins
