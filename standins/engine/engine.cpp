#include "standins/engine/engine.hpp"

#include "standins/common/json_answer.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace lovagegate::standins {

namespace {

/// @return the order's fencing token, 0 without one
fencing_token token_of(const net::exchange& e)
{
    const std::string_view text = e.request().header("x-fencing-token");
    fencing_token token = 0;
    std::from_chars(text.data(), text.data() + text.size(), token);
    return token;
}

/// A later start has a higher number, also in a new process.
incarnation first_incarnation()
{
    return static_cast<incarnation>(
        net::event_loop::now().wall.time_since_epoch().count());
}

} // namespace

engine::engine(engine_options options)
    : options_(std::move(options)), client_(loop_),
      slots_(options_.slots, options_.check_fencing),
      incarnation_(first_incarnation()),
      server_(loop_, server_settings(options_.process),
              [this](const net::exchange_ptr& e) { on_request(e); })
{
}

void engine::run()
{
    serve(options_.name, loop_, server_, options_.process);
}

void engine::on_request(const net::exchange_ptr& e)
{
    if (net::event_loop::now().mono < down_until_) {
        e->abort();
        return;
    }
    route(e);
}

void engine::route(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        take_completion(e);
    } else if (path == "/v1/load_lora_adapter") {
        take_load(e);
    } else if (path == "/v1/unload_lora_adapter") {
        take_unload(e);
    } else if (path == "/v1/models") {
        list_models(*e);
    } else if (path == "/metrics") {
        show_metrics(*e);
    } else if (!route_admin(e)) {
        respond_error(*e, http::not_found, "not_found", "no such path");
    }
}

bool engine::route_admin(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    if (path == "/admin/history") {
        nlohmann::json page = history_.page();
        page["evicted_in_use"] = slots_.evicted_in_use();
        page["incarnation"] = incarnation_;
        respond(*e, http::ok, page);
    } else if (path == "/admin/crash_on") {
        crash_markers_.insert(value_or(body_of(*e), "marker", std::string()));
        respond(*e, http::ok, nlohmann::json::object());
    } else if (path == "/admin/crash") {
        respond(*e, http::ok, nlohmann::json::object());
        loop_.call_later(1ms, [this] { crash(); });
    } else {
        return false;
    }
    return true;
}

void engine::take_completion(const net::exchange_ptr& e)
{
    const nlohmann::json body = body_of(*e);
    if (!body.is_object()) {
        respond_error(*e, http::bad_request, "bad_json", "body is no object");
        return;
    }
    const auto g = std::make_shared<generation>(e, body);
    if (g->model() != options_.model && !slots_.holds(g->model())) {
        history_.add("refuse", g->request_id(), g->model());
        respond_error(*e, http::not_found, "model_not_found",
                      "The model `" + g->model() + "` does not exist.");
        return;
    }
    slots_.use(g->model());
    e->on_closed([this, weak = std::weak_ptr(g)] {
        if (const auto open = weak.lock()) {
            leave(open, "cancel");
        }
    });
    const auto later = std::find_if(
        waiting_.begin(), waiting_.end(), [&g](const generation_ptr& other) {
            return other->priority() > g->priority();
        });
    waiting_.insert(later, g);
    start_waiting();
}

void engine::start_waiting()
{
    while (!waiting_.empty() && running_.size() < options_.batch_limit) {
        const generation_ptr g = waiting_.front();
        waiting_.pop_front();
        running_.push_back(g);
        begin(g);
    }
}

void engine::begin(const generation_ptr& g)
{
    history_.add("start", g->request_id(), g->model());
    const bool crashes =
        std::any_of(crash_markers_.begin(), crash_markers_.end(),
                    [&g](const std::string& marker) {
                        return g->prompt().find(marker) != std::string::npos;
                    });
    const auto next = [this, weak = std::weak_ptr(g), crashes] {
        if (const auto open = weak.lock()) {
            crashes ? crash() : step(open);
        }
    };
    loop_.call_later(options_.first_token, next);
}

void engine::step(const generation_ptr& g)
{
    g->next_token(headers_of(*g));
    if (g->is_complete()) {
        g->exchange().on_closed({});
        g->finish(headers_of(*g));
        leave(g, "finish");
        return;
    }
    loop_.call_later(options_.token_interval, [this, weak = std::weak_ptr(g)] {
        if (const auto open = weak.lock()) {
            step(open);
        }
    });
}

/// The lists hold the only lasting reference: timers of a request that has
/// left find nothing.
void engine::leave(const generation_ptr& g, std::string_view event)
{
    history_.add(event, g->request_id(), g->model());
    slots_.release(g->model());
    running_.remove(g);
    waiting_.remove(g);
    start_waiting();
}

void engine::take_load(const net::exchange_ptr& e)
{
    const std::string name = value_or(body_of(*e), "lora_name", std::string());
    if (name.empty()) {
        respond_error(*e, http::bad_request, "bad_json", "lora_name missing");
        return;
    }
    if (!refuse_order(*e, slots_.begin_load(name, token_of(*e)), name)) {
        fetch(e, name);
    }
}

bool engine::refuse_order(net::exchange& e, order_answer answer,
                          const std::string& name)
{
    switch (answer) {
    case order_answer::done:
        return false;
    case order_answer::stale_token:
        history_.add("refuse", "", name);
        respond(e, http::conflict,
                {{"highest_fencing_token", slots_.highest_token()}});
        return true;
    case order_answer::already_loaded:
        respond_error(e, http::bad_request, "already_loaded",
                      "The lora adapter '" + name +
                          "' has already been loaded.");
        return true;
    case order_answer::not_loaded:
        respond_error(e, http::not_found, "not_loaded",
                      "The lora adapter '" + name + "' cannot be found.");
        return true;
    case order_answer::no_free_slot:
        respond_error(e, http::bad_request, "no_free_slot",
                      "All adapter slots are taken.");
        return true;
    }
    return false;
}

void engine::fetch(const net::exchange_ptr& e, const std::string& name)
{
    const std::uint64_t run = incarnation_;
    if (!options_.store) {
        loop_.call_later(options_.load_time, [this, e, name, run] {
            end_load(e, name, run, true);
        });
        return;
    }
    net::client_request request;
    request.address = options_.store->address;
    request.port = options_.store->port;
    request.path = "/weights/" + name;
    const auto status = std::make_shared<int>(0);
    net::call_events events;
    events.on_response = [status](const net::response_head& head) {
        *status = head.status;
    };
    events.on_complete = [this, e, name, run, status] {
        end_load(e, name, run, *status == http::ok);
    };
    events.on_failed = [this, e, name, run](net::call_failure) {
        end_load(e, name, run, false);
    };
    client_.send(std::move(request), std::move(events));
}

void engine::end_load(const net::exchange_ptr& e, const std::string& name,
                      std::uint64_t run, bool good)
{
    if (run != incarnation_) {
        return;
    }
    if (!good) {
        slots_.load_failed(name);
        history_.add("load_failed", "", name);
        respond_error(*e, http::internal_error, "load_failed",
                      "The weight store did not deliver.");
        return;
    }
    slots_.loaded(name);
    history_.add("load", "", name);
    e->respond(http::ok, {{"Content-Type", "text/plain"}},
               "Success: LoRA adapter '" + name + "' added successfully.");
}

void engine::take_unload(const net::exchange_ptr& e)
{
    const std::string name = value_or(body_of(*e), "lora_name", std::string());
    if (refuse_order(*e, slots_.unload(name, token_of(*e)), name)) {
        return;
    }
    history_.add("unload", "", name);
    e->respond(http::ok, {{"Content-Type", "text/plain"}},
               "Success: LoRA adapter '" + name + "' removed successfully.");
}

/// Drops every connection and starts again with nothing loaded.
void engine::crash()
{
    history_.add("crash", "", "");
    auto lost = std::exchange(running_, {});
    lost.splice(lost.end(), waiting_);
    for (const generation_ptr& g : lost) {
        g->exchange().on_closed({});
        g->exchange().abort();
    }
    slots_.clear();
    ++incarnation_;
    down_until_ = net::event_loop::now().mono + options_.restart_time;
}

void engine::list_models(net::exchange& e) const
{
    auto data = nlohmann::json::array(
        {{{"id", options_.model}, {"object", "model"}, {"created", 0}}});
    for (const std::string& name : slots_.resident()) {
        data.push_back({{"id", name},
                        {"object", "model"},
                        {"created", 0},
                        {"parent", options_.model}});
    }
    respond(e, http::ok, {{"object", "list"}, {"data", data}});
}

std::string engine::adapters_of(bool waiting) const
{
    std::string names;
    for (const generation_ptr& g : waiting ? waiting_ : running_) {
        names += (names.empty() ? "" : ",") + g->model();
    }
    return names;
}

void engine::show_metrics(net::exchange& e) const
{
    const std::string label = "{model_name=\"" + options_.model + "\"} ";
    std::ostringstream out;
    out << "vllm:num_requests_running" << label << running_.size() << '\n'
        << "vllm:num_requests_waiting" << label << waiting_.size() << '\n'
        << "vllm:lora_requests_info{max_lora=\"" << options_.slots
        << "\",running_lora_adapters=\"" << adapters_of(false)
        << "\",waiting_lora_adapters=\"" << adapters_of(true) << "\"} 1\n"
        << "engine_batch_limit " << options_.batch_limit << '\n'
        << "engine_incarnation " << incarnation_ << '\n'
        << "fencing_token " << slots_.highest_token() << '\n';
    e.respond(http::ok, {{"Content-Type", "text/plain; version=0.0.4"}},
              out.str());
}

net::header_list engine::headers_of(const generation& g) const
{
    net::header_list headers = {
        {"X-Served-By", options_.name},
        {"X-Adapter", g.model()},
        {"X-Engine-Incarnation", std::to_string(incarnation_)}};
    const std::string id = g.request_id();
    if (!id.empty()) {
        headers.push_back({"X-Request-Id", id});
    }
    return headers;
}

} // namespace lovagegate::standins
