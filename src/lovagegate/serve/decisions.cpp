#include "lovagegate/serve/decisions.hpp"

#include <utility>

namespace lovagegate::serve {

decisions::decisions(net::event_loop& loop, const node::node_settings& settings,
                     instance_id self, incarnation start, std::uint64_t seed)
    : loop_(loop),
      node_(settings, std::move(self), start, seed, net::event_loop::now())
{
}

decisions::~decisions()
{
    loop_.cancel(timer_);
}

void decisions::on_output(output_handler carry_out)
{
    carry_out_ = std::move(carry_out);
}

void decisions::start()
{
    timer_ = loop_.call_later(node::tick_interval, [this] { tick(); });
}

void decisions::tick()
{
    submit(node::tick{});
    start();
}

void decisions::submit(node::input in)
{
    inputs_.push_back(std::move(in));
    if (!running_)
        run();
}

void decisions::run()
{
    running_ = true;
    while (!inputs_.empty()) {
        const node::input in = std::move(inputs_.front());
        inputs_.pop_front();
        node::outbox out;
        node_.step(in, net::event_loop::now(), out);
        for (const node::output& o : out)
            carry_out_(o);
    }
    running_ = false;
}

} // namespace lovagegate::serve
