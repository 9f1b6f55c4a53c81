#include "standins/service/plain_service.hpp"

#include "standins/common/json_answer.hpp"

#include <utility>

namespace lovagegate::standins {

plain_service::plain_service(plain_service_options options)
    : options_(std::move(options)),
      server_(loop_, server_settings(options_.process),
              [this](const net::exchange_ptr& e) { on_request(e); })
{
}

void plain_service::run()
{
    serve(options_.name, loop_, server_, options_.process);
}

void plain_service::on_request(const net::exchange_ptr& e)
{
    if (route_admin(e)) {
        return;
    }
    const std::string& path = e->request().path;
    const std::string& method = e->request().method;
    const bool known =
        (method == "GET" && path.rfind("/roster/", 0) == 0) ||
        (method == "POST" && (path == "/signoff" || path == "/press"));
    if (!known) {
        respond(*e, http::not_found, {{"error", "no such call"}});
    } else if (refuse_next_ > 0) {
        --refuse_next_;
        respond(*e, http::unavailable, {{"error", "busy"}},
                {{"X-Not-Run", "true"}});
    } else {
        run_call(e);
    }
}

bool plain_service::route_admin(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    if (path == "/admin/runs") {
        respond(*e, http::ok, {{"total", total_runs_}, {"by_id", runs_}});
    } else if (path == "/admin/mode") {
        const nlohmann::json body = body_of(*e);
        refuse_next_ = value_or(body, "refuse_next", refuse_next_);
        drop_next_ = value_or(body, "drop_next", drop_next_);
        respond(*e, http::ok, nlohmann::json::object());
    } else {
        return false;
    }
    return true;
}

void plain_service::run_call(const net::exchange_ptr& e)
{
    const std::string id(e->request().header("x-request-id"));
    const std::uint64_t runs = ++runs_[id];
    ++total_runs_;
    if (drop_next_ > 0) {
        --drop_next_;
        loop_.call_later(options_.delay, [e] { e->abort(); });
        return;
    }
    loop_.call_later(options_.delay, [this, e, id, runs] {
        net::header_list headers = {{"X-Served-By", options_.name},
                                    {"X-Run-Count", std::to_string(runs)}};
        if (!id.empty()) {
            headers.push_back({"X-Request-Id", id});
        }
        respond(*e, http::ok,
                {{"call", e->request().method + ' ' + e->request().path},
                 {"received", e->request().body},
                 {"runs_of_this_id", runs}},
                std::move(headers));
    });
}

} // namespace lovagegate::standins
