#include "lovagegate/serve/target_client.hpp"

#include <utility>

namespace lovagegate::serve {

target_client::target_client(net::event_loop& loop, net::http_client& client,
                             const settings::limit_settings& limits,
                             caller_frontend& frontend, core_runner& core,
                             metrics::registry& metrics)
    : loop_(loop), client_(client), limits_(limits), frontend_(frontend),
      core_(core), metrics_(metrics)
{
}

void target_client::start(const node::start_attempt& order)
{
    const auto call = frontend_.find(order.id);
    if (!call) {
        core_.submit(node::attempt_ended{order.id,
                                         order.attempt,
                                         node::attempt_end::connect_failed,
                                         {},
                                         {}});
        return;
    }
    const auto started = std::make_shared<attempt>(
        loop_, limits_, order, call, observe(call, order.attempt));
    attempts_[order.id] = started;
    started->start(client_);
}

attempt_observer
target_client::observe(const std::shared_ptr<open_request>& call,
                       std::uint32_t number)
{
    const local_id id = call->id;
    const priority importance = call->importance;
    const time_point received = call->received;
    return {.on_answer_started =
                [this, id, number, importance, received] {
                    const auto now = net::event_loop::now().mono;
                    metrics_.observe(metrics::timing::first_token, importance,
                                     now - received, now);
                    core_.submit(node::answer_started{id, number});
                },
            .on_ended =
                [this, id, number](node::attempt_ended ended) {
                    remove(id, number);
                    core_.submit(std::move(ended));
                },
            .on_event_gap =
                [this, importance](duration gap) {
                    metrics_.observe(metrics::timing::token_gap, importance,
                                     gap, net::event_loop::now().mono);
                }};
}

void target_client::remove(local_id id, std::uint32_t number)
{
    const auto it = attempts_.find(id);
    if (it != attempts_.end() && it->second->number() == number)
        attempts_.erase(it);
}

void target_client::cancel(const node::cancel_attempt& order)
{
    const auto it = attempts_.find(order.id);
    if (it == attempts_.end() || it->second->number() != order.attempt)
        return;
    it->second->cancel();
    attempts_.erase(it);
}

} // namespace lovagegate::serve
