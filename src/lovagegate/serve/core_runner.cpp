#include "lovagegate/serve/core_runner.hpp"

#include <utility>

namespace lovagegate::serve {

core_runner::core_runner(net::event_loop& loop,
                         const node::node_settings& settings, instance_id self,
                         incarnation start, std::uint64_t seed)
    : loop_(loop),
      node_(settings, std::move(self), start, seed, net::event_loop::now())
{
}

core_runner::~core_runner()
{
    loop_.cancel(timer_);
}

void core_runner::set_output_handler(output_handler handler)
{
    output_handler_ = std::move(handler);
}

void core_runner::start()
{
    timer_ = loop_.call_later(node::tick_interval, [this] { tick(); });
}

void core_runner::tick()
{
    submit(node::tick{});
    start();
}

void core_runner::submit(node::input in)
{
    inputs_.push_back(std::move(in));
    if (!running_)
        run();
}

void core_runner::run()
{
    running_ = true;
    while (!inputs_.empty()) {
        const node::input in = std::move(inputs_.front());
        inputs_.pop_front();
        node::outbox out;
        node_.step(in, net::event_loop::now(), out);
        for (const node::output& o : out)
            output_handler_(o);
    }
    running_ = false;
}

} // namespace lovagegate::serve
