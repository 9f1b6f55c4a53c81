#include "soak/tcp_proxy.hpp"

#include <algorithm>
#include <deque>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagegate::soak {

namespace {

/// Loopback acknowledges at once; the limit is never reached.
constexpr duration silence_limit = 60s;

void reset(int fd)
{
    const linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}

} // namespace

/// Both halves of one connection.
class tcp_proxy::connection
{
public:
    connection(tcp_proxy& proxy, int fd)
        : proxy_(proxy), near_(*this, far_), far_(*this, near_)
    {
        near_.stream =
            std::make_unique<net::tcp_stream>(proxy.loop_, fd, near_);
        far_.stream = std::make_unique<net::tcp_stream>(proxy.loop_, proxy.to_,
                                                        silence_limit, far_);
    }
    ~connection() { *alive_ = false; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void break_off()
    {
        near_.stream->abort_on_close();
        far_.stream->abort_on_close();
    }

    void stick() { stuck_ = true; }

    void pump()
    {
        pump(near_, proxy_.state_.way_in_open);
        pump(far_, proxy_.state_.way_out_open);
    }

private:
    /// Bytes on their way, or the end of data if there are none.
    struct parcel
    {
        std::string bytes;
        time_point due;
    };

    struct half final : net::stream_handler
    {
        half(connection& o, half& other_half) : owner(o), other(other_half) {}

        bool on_data(std::string_view data) override
        {
            owner.take(*this, std::string(data));
            return true;
        }
        void on_end(net::stream_end how) override { owner.end(*this, how); }

        connection& owner;
        half& other;
        std::unique_ptr<net::tcp_stream> stream;
        std::deque<parcel> read; ///< from this half, for the other one
        bool ended = false;
    };

    void take(half& from, std::string bytes)
    {
        const duration delay = proxy_.state_.delay;
        from.read.push_back(
            {std::move(bytes), net::event_loop::now().mono + delay});
        if (delay == duration::zero()) {
            pump();
            return;
        }
        proxy_.loop_.call_later(delay, [this, alive = alive_] {
            if (*alive)
                pump();
        });
    }

    void pump(half& from, bool open)
    {
        // Timers may fire a little early.
        const auto now = net::event_loop::now().mono + 1ms;
        while (open && !stuck_ && !from.read.empty() &&
               from.read.front().due <= now) {
            const std::string bytes = std::move(from.read.front().bytes);
            from.read.pop_front();
            if (bytes.empty())
                from.other.stream->end_writing();
            else
                from.other.stream->write(bytes);
        }
    }

    void end(half& from, net::stream_end how)
    {
        from.ended = true;
        const bool both = near_.ended && far_.ended;
        if (how == net::stream_end::end_of_data && !both) {
            take(from, {});
            return;
        }
        if (how != net::stream_end::end_of_data)
            break_off();
        proxy_.drop(*this);
    }

    friend class tcp_proxy;
    tcp_proxy& proxy_;
    half near_;
    half far_;
    bool stuck_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

tcp_proxy::tcp_proxy(net::event_loop& loop, const settings::endpoint& to)
    : loop_(loop), to_(to),
      listener_(loop, {"127.0.0.1", 0}, [this](int fd) { accept(fd); })
{
}

tcp_proxy::~tcp_proxy()
{
    *alive_ = false;
}

void tcp_proxy::accept(int fd)
{
    if (refusing_)
        reset(fd);
    else
        connections_.push_back(std::make_unique<connection>(*this, fd));
}

void tcp_proxy::set(const link_state& state)
{
    state_ = state;
    for (const auto& c : connections_)
        c->pump();
}

void tcp_proxy::reset_all()
{
    for (const auto& c : connections_)
        c->break_off();
    connections_.clear();
}

void tcp_proxy::stick_all()
{
    for (const auto& c : connections_)
        c->stick();
}

void tcp_proxy::drop(connection& c)
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

} // namespace lovagegate::soak
