#include "standins/platform/platform.hpp"

#include "standins/common/json_answer.hpp"

#include <openssl/evp.h>
#include <utility>

namespace lovagegate::standins {

namespace {

constexpr std::string_view tickets_prefix = "/v1/kv/tickets/";
constexpr std::string_view list_path = "/v1/health/service/lovagegate";
constexpr std::size_t largest_value = std::size_t{1} << 20U;

std::string base64(const std::string& bytes)
{
    constexpr std::size_t quantum = 3;
    constexpr std::size_t quantum_text = 4;
    std::string text((bytes.size() + quantum - 1) / quantum * quantum_text + 1,
                     '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

} // namespace

platform::platform(const platform_options& options)
    : options_(options), tickets_(loop_), instances_(loop_),
      server_(loop_, server_settings(options_.process),
              [this](const net::exchange_ptr& e) { on_request(e); })
{
}

void platform::run()
{
    serve("platform", loop_, server_, options_.process);
}

void platform::on_request(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    const bool put = e->request().method == "PUT";
    const bool ticket = path.rfind(tickets_prefix, 0) == 0;
    if (ticket && put) {
        put_ticket(*e);
    } else if (ticket) {
        tickets_.read(e);
    } else if (path == list_path && !put) {
        instances_.read(e);
    } else if (path == "/v1/agent/instances" && put) {
        put_instances(*e);
    } else if (!route_admin(e)) {
        respond(*e, http::not_found, {{"error", "no such path"}});
    }
}

bool platform::route_admin(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    if (path == "/admin/mode") {
        set_mode(*e);
    } else if (path == "/admin/counts") {
        respond(*e, http::ok,
                {{"ticket_reads", tickets_.reads()},
                 {"list_reads", instances_.reads()}});
    } else {
        return false;
    }
    return true;
}

void platform::put_ticket(net::exchange& e)
{
    const std::string number = e.request().path.substr(tickets_prefix.size());
    if (number.empty() || e.request().body.size() > largest_value) {
        respond(e, http::bad_request, {{"error", "no number or over 1 MiB"}});
        return;
    }
    raw_tickets_[number] = e.request().body;
    auto page = nlohmann::json::array();
    for (const auto& [key, value] : raw_tickets_) {
        page.push_back({{"Key", "tickets/" + key}, {"Value", base64(value)}});
    }
    tickets_.publish(page.dump());
    respond(e, http::ok, true);
}

void platform::put_instances(net::exchange& e)
{
    const nlohmann::json services = body_of(e);
    if (!services.is_array()) {
        respond(e, http::bad_request,
                {{"error", "expected a list of {ID, Address, Port, Meta}"}});
        return;
    }
    auto page = nlohmann::json::array();
    for (const auto& service : services) {
        page.push_back({{"Service", service}});
    }
    loop_.call_later(options_.list_lag,
                     [this, text = page.dump()] { instances_.publish(text); });
    respond(e, http::ok, true);
}

void platform::set_mode(net::exchange& e)
{
    const nlohmann::json body = body_of(e);
    const std::map<std::string, platform_mode> names = {
        {"up", platform_mode::up},
        {"down", platform_mode::down},
        {"stale", platform_mode::stale}};
    const auto mode = names.find(value_or(body, "mode", std::string()));
    if (mode == names.end()) {
        respond(e, http::bad_request,
                {{"error", "expected mode up, down or stale"}});
        return;
    }
    const auto part = value_or(body, "part", std::string("both"));
    if (part != "instances") {
        tickets_.set_mode(mode->second);
    }
    if (part != "tickets") {
        instances_.set_mode(mode->second);
    }
    respond(e, http::ok, nlohmann::json::object());
}

} // namespace lovagegate::standins
