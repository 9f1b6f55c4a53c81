#include "lovagegate/serve/caller_frontend.hpp"

#include "lovagegate/openai/pages.hpp"
#include "lovagegate/serve/refusal_page.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagegate::serve {

namespace {

/// Bodies that are received or served may take this much beyond 64 KB each:
/// hundreds of ordinary prompts, or 24 bodies of the default limit.
constexpr std::size_t max_body_memory = std::size_t{24} * 1024 * 1024;
/// Room for a few of the largest requests, whatever their limit is.
constexpr std::size_t min_largest_bodies = 4;

net::http_server_settings server_settings(const settings::settings& checked)
{
    net::http_server_settings s;
    s.address = checked.instance.listen.address;
    s.port = checked.instance.listen.port;
    s.max_body_bytes = checked.limits.body_bytes;
    s.max_held_bytes =
        std::max(max_body_memory, min_largest_bodies * s.max_body_bytes);
    s.closes_waiting_for_new = true;
    s.max_connections = checked.limits.connections;
    s.head_timeout = checked.limits.request_timeout;
    s.body_timeout = checked.limits.request_timeout;
    return s;
}

void respond(net::exchange& exchange, const net::http_answer& answer)
{
    exchange.respond(answer.status, answer.headers, answer.body);
}

} // namespace

caller_frontend::caller_frontend(net::event_loop& loop,
                                 const settings::settings& checked,
                                 core_runner& core, metrics::registry& metrics,
                                 page_handler pages)
    : settings_(checked), core_(core), metrics_(metrics),
      pages_(std::move(pages)),
      server_(
          loop, server_settings(checked),
          [this](const net::exchange_ptr& e) { on_request(e); },
          [this](net::bad_request reason) {
              counts_.add(reason == net::bad_request::too_much_held
                              ? "bodies_refused_for_memory"
                              : "requests_unreadable");
              return bad_request_page(reason);
          })
{
}

std::shared_ptr<open_request> caller_frontend::find(local_id id) const
{
    const auto it = open_requests_.find(id);
    return it == open_requests_.end() ? nullptr : it->second;
}

void caller_frontend::on_request(const net::exchange_ptr& exchange)
{
    const net::http_request& request = exchange->request();
    if (pages_(exchange))
        return;
    const auto address = parse_service_path(request);
    if (request.method == "GET" && address.path == "/v1/models") {
        list_models(exchange, address.service);
        return;
    }
    auto read = read_request(request);
    if (const auto* fault = std::get_if<request_fault>(&read))
        refuse(exchange, *fault);
    else
        accept_request(exchange, std::move(std::get<checked_request>(read)));
}

void caller_frontend::refuse(const net::exchange_ptr& exchange,
                             const request_fault& fault)
{
    counts_.add("refusals", "reason", to_string(fault.reason));
    respond(*exchange, refusal_page({.reason = fault.reason,
                                     .message = fault.message,
                                     .param = fault.param}));
}

void caller_frontend::accept_request(const net::exchange_ptr& exchange,
                                     checked_request request)
{
    auto call = std::make_shared<open_request>();
    call->id = ++last_id_;
    call->exchange = exchange;
    call->received = net::event_loop::now().mono;
    node::caller_request core_request = request.core_request;
    core_request.id = call->id;
    call->importance = core_request.importance.value_or(priority::normal);
    // A generated id is used only in headers and answers: the decision core
    // receives a request id only if the caller sent one.
    call->x_request_id = core_request.request
                             ? core_request.request->str()
                             : settings_.instance.name.str() + '-' +
                                   std::to_string(core_.core().start()) + '-' +
                                   std::to_string(call->id);
    call->request = std::move(request);
    const local_id id = call->id;
    open_requests_.emplace(id, std::move(call));
    exchange->on_closed([this, id] { core_.submit(node::caller_gone{id}); });
    core_.submit(std::move(core_request));
}

void caller_frontend::finish(const node::finish_request& end)
{
    const auto it = open_requests_.find(end.id);
    if (it == open_requests_.end())
        return;
    const auto call = std::move(it->second);
    open_requests_.erase(it);
    call->exchange->on_closed({});
    const auto now = net::event_loop::now().mono;
    if (end.outcome == request_outcome::completed)
        metrics_.observe(metrics::timing::latency, call->importance,
                         now - call->received, now);
    if (end.answer) {
        call->exchange->respond(end.answer->status,
                                {{"content-type", end.answer->content_type},
                                 {"x-request-id", call->x_request_id},
                                 {"x-lovagegate-outcome", "completed"}},
                                end.answer->body);
        return;
    }
    if (end.outcome == request_outcome::completed &&
        call->exchange->is_started())
        return;
    if (call->exchange->is_started()) {
        call->exchange->close_unfinished();
        return;
    }
    // A completed request without an answer is a repeat whose answer was too
    // large to store: the request has run, but its answer is unknown.
    const auto outcome = end.outcome == request_outcome::completed
                             ? request_outcome::unknown
                             : end.outcome;
    respond(*call->exchange, refusal_page({.outcome = outcome,
                                           .reason = end.reason,
                                           .retry_after = end.retry_after,
                                           .request = call->x_request_id}));
}

void caller_frontend::list_models(const net::exchange_ptr& exchange,
                                  const service_id& service) const
{
    std::vector<std::string> names;
    for (const auto& [name, adapter] :
         core_.core().tickets().state().adapters) {
        if (!service.empty() && !adapter.services.contains(service))
            continue;
        for (const std::string& version : adapter.versions)
            names.push_back(to_string(adapter_version{name, version}));
    }
    exchange->respond(200, {{"content-type", "application/json"}},
                      openai::model_list(names));
}

} // namespace lovagegate::serve
