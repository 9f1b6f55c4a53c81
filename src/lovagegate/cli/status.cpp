#include "lovagegate/cli/status.hpp"

#include "lovagegate/cli/status_page.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"

#include <optional>
#include <ostream>
#include <variant>

namespace lovagegate::cli {

namespace {

constexpr duration answer_timeout = 5s;

struct status_answer
{
    int code = 0;
    std::string body;
    std::optional<net::call_failure> failure;
};

status_answer fetch(const settings::endpoint& from)
{
    net::event_loop loop;
    net::http_client client(loop);
    status_answer answer;
    net::client_request request;
    request.address = from.address;
    request.port = from.port;
    request.path = "/admin/status";
    request.response_timeout = answer_timeout;
    net::call_events events;
    events.on_response = [&](const net::response_head& head) {
        answer.code = head.status;
    };
    events.on_data = [&](std::string_view part) { answer.body += part; };
    events.on_complete = [&] { loop.stop(); };
    events.on_failed = [&](net::call_failure f) {
        answer.failure = f;
        loop.stop();
    };
    const auto call = client.send(std::move(request), std::move(events));
    loop.run();
    return answer;
}

} // namespace

bool status(const status_command& c, std::ostream& out, std::ostream& err)
{
    constexpr int ok = 200;
    const status_answer answer = fetch(c.instance);
    if (answer.failure || answer.code != ok) {
        err << to_string(c.instance) << ": status not available: "
            << (answer.failure ? std::string(net::to_string(*answer.failure))
                               : "HTTP " + std::to_string(answer.code))
            << '\n';
        return false;
    }
    try {
        out << (c.json ? answer.body + '\n' : status_page(answer.body));
    } catch (const status_error& e) {
        err << to_string(c.instance) << ": " << e.what() << '\n';
        return false;
    }
    return true;
}

} // namespace lovagegate::cli
