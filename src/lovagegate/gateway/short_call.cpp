#include "lovagegate/gateway/short_call.hpp"

namespace lovagegate::gateway {

short_call::short_call(net::event_loop& loop, target_pool& pool,
                       const target_request& request, std::size_t limit,
                       duration time_limit, std::size_t size_limit,
                       done_handler done)
    : loop_(loop), done_(std::move(done)), size_limit_(size_limit)
{
    call_ = pool.send(request, limit, *this);
    if (!call_) {
        result_.failure = call_failure::no_connection;
        time_limit = duration::zero();
    }
    timer_ = loop_.call_later(time_limit, [this] { on_time_limit(); });
}

short_call::~short_call()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
}

void short_call::on_time_limit()
{
    // If the event loop is late, the answer may have arrived in time and lie
    // unread. Sockets that are readable now are read before the next timer.
    timer_ = loop_.call_later(duration::zero(), [this] {
        timer_ = 0;
        result_.status = 0;
        finish();
    });
}

void short_call::on_answer_head(net::message_head& head)
{
    result_.status = head.status;
    result_.head_received = true;
    result_.head = head;
}

bool short_call::on_answer_body(std::string_view part)
{
    if (result_.body.size() + part.size() > size_limit_) {
        result_.status = 0;
        result_.failure = call_failure::not_an_answer;
        finish();
        return false;
    }
    result_.body.append(part);
    return true;
}

void short_call::on_answer_end()
{
    finish();
}

void short_call::on_call_failed(call_failure f)
{
    result_.status = 0;
    result_.failure = f;
    finish();
}

void short_call::finish()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
    timer_ = 0;
    call_.reset();
    const auto done = std::move(done_);
    done_ = nullptr;
    const result r = std::move(result_);
    if (done)
        done(r); // may destroy this object
}

} // namespace lovagegate::gateway
