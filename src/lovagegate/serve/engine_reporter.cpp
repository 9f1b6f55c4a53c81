#include "lovagegate/serve/engine_reporter.hpp"

#include "lovagegate/engine/order_request.hpp"
#include "lovagegate/engine/report_parser.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::serve {
namespace {

constexpr duration poll_connect_timeout = 500ms;
constexpr duration poll_timeout = 1s;
constexpr duration order_timeout = 20s;
constexpr std::size_t max_page_bytes = std::size_t{1} << 20U;
constexpr std::size_t max_order_answer_bytes = std::size_t{64} << 10U;
constexpr int report_page_count = 2;
constexpr int http_ok = 200;

/// Appends data until `to` has `limit` bytes; discards the rest.
void append_bounded(std::string& to, std::string_view data, std::size_t limit)
{
    to.append(data.substr(0, limit - std::min(limit, to.size())));
}

} // namespace

struct engine_reporter::poll_state
{
    node::poll_engine command;
    time_point started_at{};
    std::string models;
    std::string metrics;
    int pages_left = report_page_count;
    bool ok = true;
};

struct engine_reporter::order_state
{
    node::order_engine order;
    int status = 0;
    std::string body;
};

engine_reporter::engine_reporter(net::http_client& client, core_input core)
    : client_(client), core_(std::move(core))
{
}

void engine_reporter::poll(const node::poll_engine& command)
{
    if (!polling_.insert(command.target).second)
        return;
    auto poll = std::make_shared<poll_state>();
    poll->command = command;
    poll->started_at = net::event_loop::now().mono;
    read_page(poll, "/v1/models", &poll_state::models);
    read_page(poll, "/metrics", &poll_state::metrics);
}

void engine_reporter::read_page(const std::shared_ptr<poll_state>& poll,
                                const std::string& path,
                                std::string poll_state::*page)
{
    net::client_request request;
    request.address = poll->command.address;
    request.port = poll->command.port;
    request.path = path;
    request.connect_timeout = poll_connect_timeout;
    request.response_timeout = poll_timeout;
    request.body_timeout = poll_timeout;
    net::call_events events;
    events.on_response = [poll](const net::response_head& head) {
        poll->ok = poll->ok && head.status == http_ok;
    };
    events.on_data = [poll, page](std::string_view data) {
        append_bounded((*poll).*page, data, max_page_bytes);
    };
    events.on_complete = [this, poll] { on_page_done(*poll, true); };
    events.on_failed = [this, poll](net::call_failure) {
        on_page_done(*poll, false);
    };
    client_.send(std::move(request), std::move(events));
}

void engine_reporter::on_page_done(poll_state& poll, bool ok)
{
    poll.ok = poll.ok && ok;
    if (--poll.pages_left > 0)
        return;
    const target_id& target = poll.command.target;
    polling_.erase(target);
    if (poll.ok) {
        try {
            node::engine_report report =
                engine::parse_report(target, poll.models, poll.metrics);
            report.asked = poll.started_at;
            core_(report);
            return;
        } catch (const engine::report_error&) {
            // An engine with an unreadable report gets no work, like an
            // unreachable one.
        }
    }
    core_(node::engine_unreachable{target});
}

void engine_reporter::order(const node::order_engine& order)
{
    auto state = std::make_shared<order_state>();
    state->order = order;
    const engine::order_request body = engine::make_order_request(order);
    net::client_request request;
    request.address = order.address;
    request.port = order.port;
    request.method = "POST";
    request.path = body.path;
    request.body = body.body;
    request.headers = {
        {"Content-Type", "application/json"},
        {std::string(engine::fencing_header), std::to_string(order.token)}};
    request.connect_timeout = poll_connect_timeout;
    request.response_timeout = order_timeout;
    auto call = std::make_shared<std::weak_ptr<net::http_call>>();
    net::call_events events;
    events.on_connected = [this, state, call] {
        if (net::event_loop::now().mono <= state->order.not_after)
            return;
        // Nothing has been written yet, so the order has failed; its outcome
        // is not unknown.
        if (const auto c = call->lock())
            c->cancel();
        end_order(*state, node::order_end::failed);
    };
    events.on_response = [state](const net::response_head& head) {
        state->status = head.status;
    };
    events.on_data = [state](std::string_view data) {
        append_bounded(state->body, data, max_order_answer_bytes);
    };
    events.on_complete = [this, state] {
        end_order(*state, engine::judge_order_answer(
                              state->order, state->status, state->body));
    };
    events.on_failed = [this, state](net::call_failure f) {
        end_order(*state, net::nothing_sent(f) ? node::order_end::failed
                                               : node::order_end::unknown);
    };
    *call = client_.send(std::move(request), std::move(events));
}

void engine_reporter::end_order(const order_state& order, node::order_end end)
{
    node::order_ended ended{order.order.target, order.order.order, end, 0};
    if (end == node::order_end::stale_token)
        ended.highest_token = engine::refused_token(order.body);
    core_(ended);
}

} // namespace lovagegate::serve
