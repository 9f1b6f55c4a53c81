#include "lovagegate/serve/platform_reader.hpp"

#include "lovagegate/platform/replies.hpp"

#include <charconv>
#include <utility>

namespace lovagegate::serve {
namespace {

/// Time after a watch's wait until the service is assumed to be unavailable.
constexpr duration response_grace = 5s;
constexpr duration connect_timeout = 2s;
/// Largest answer; must hold every ticket in force at the planned size.
constexpr std::size_t max_answer_bytes = std::size_t{64} << 20U;
constexpr int http_ok = 200;

std::uint64_t parse_index(std::string_view text)
{
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

} // namespace

struct platform_reader::pending_read
{
    node::platform_part part = node::platform_part::tickets;
    instant asked;
    int status = 0;
    std::uint64_t index = 0;
    std::string body;
    bool too_large = false;
};

platform_reader::platform_reader(net::http_client& client,
                                 const settings::platform_settings& settings,
                                 core_input core)
    : client_(client), settings_(settings), core_(std::move(core))
{
}

void platform_reader::read(const node::read_platform& command)
{
    const bool tickets = command.part == node::platform_part::tickets;
    const auto& address =
        tickets ? settings_.config_address : settings_.list_address;
    const std::uint64_t known_index =
        known_indexes_.at(std::size_t(command.part));
    net::client_request request;
    request.address = address.address;
    request.port = address.port;
    request.path = tickets
                       ? platform::tickets_path(known_index, command.wait)
                       : platform::instances_path(known_index, command.wait);
    request.connect_timeout = connect_timeout;
    request.response_timeout = command.wait + response_grace;
    request.body_timeout = response_grace;

    auto r = std::make_shared<pending_read>();
    r->part = command.part;
    r->asked = net::event_loop::now();
    net::call_events events;
    events.on_response = [r](const net::response_head& head) {
        r->status = head.status;
        r->index = parse_index(head.header(platform::index_header));
    };
    events.on_data = [r](std::string_view data) {
        r->too_large =
            r->too_large || r->body.size() + data.size() > max_answer_bytes;
        if (!r->too_large)
            r->body.append(data);
    };
    events.on_complete = [this, r] { finish(*r); };
    events.on_failed = [this, r](net::call_failure) { fail(r->part); };
    client_.send(std::move(request), std::move(events));
}

void platform_reader::finish(pending_read& r)
{
    if (r.status != http_ok || r.too_large) {
        fail(r.part);
        return;
    }
    // A lower index means that the service has restarted: the next request
    // carries no index and is answered at once.
    std::uint64_t& known_index = known_indexes_.at(std::size_t(r.part));
    known_index = r.index < known_index ? 0 : r.index;
    try {
        if (r.part == node::platform_part::tickets) {
            core_(platform::parse_tickets(r.index, r.body));
            return;
        }
        node::instance_list list = platform::parse_instances(r.index, r.body);
        list.asked = r.asked;
        core_(list);
    } catch (const platform::reply_error&) {
        known_index = 0;
        fail(r.part);
    }
}

void platform_reader::fail(node::platform_part part)
{
    core_(node::platform_unavailable{part});
}

} // namespace lovagegate::serve
