#include "standins/site/dialect.hpp"

#include "platform/words.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::standins {

namespace {

using nlohmann::json;
namespace header = platform_wire::header;

constexpr std::string_view signature = "s";

std::string field(std::string_view name, std::string_view value)
{
    return std::string(name) + ": " + std::string(value);
}

std::string id_field(const seen_request& r)
{
    return field(header::attempt_id, attempt_id(r));
}

script at_once(std::string bytes)
{
    return {{std::move(bytes), {}, then::go_on}};
}

json engine_description()
{
    return {{"slots", 64},
            {"weightsSize", 16800.0},
            {"adapterSlots", 29},
            {"models",
             {{{"name", "m"},
               {"weightsSize", 16100.0},
               {"loadTimeS", 0.6},
               {"adapterMb", 14.0}}}}};
}

} // namespace

std::string config_text(const site_description& site)
{
    json service{{"name", "s"}, {"maxConnections", 50}};
    if (site.engines)
        service["engine"] = engine_description();
    json limits = json::object();
    if (site.idle_timeout_ms > 0)
        limits = {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 1048576},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", site.idle_timeout_ms}};
    json config{{"version", site.version},
                {"limits", limits},
                {"routes",
                 {{{"name", "r"},
                   {"host", "h"},
                   {"prefix", site.prefix},
                   {"kind", site.kind},
                   {"timeoutMs", 15000},
                   {"targetLatencyMs", site.latency_objective_ms},
                   {"priority", 1},
                   {"service", "s"},
                   {"maxAttempts", site.attempts},
                   {"resumable", site.resumable}}}},
                {"services", json::array({service})}};
    if (site.anonymous)
        config["routes"][0]["anonymous"] = true;
    for (const auto& w : site.workspaces) {
        json workspace{{"name", w.name}, {"apiKeys", json::array({w.key})}};
        if (w.priority)
            workspace["priority"] = *w.priority;
        if (w.rate_per_s > 0)
            workspace["ratePerS"] = workspace["burst"] = w.rate_per_s;
        config["tenants"].push_back(std::move(workspace));
    }
    return config.dump();
}

std::string config_text(std::uint64_t version,
                        std::span<const route_description> all)
{
    json routes = json::array();
    for (const auto& r : all)
        routes.push_back({{"name", "r" + std::to_string(routes.size())},
                          {"host", "h"},
                          {"prefix", r.prefix},
                          {"kind", r.kind},
                          {"timeoutMs", 15000},
                          {"targetLatencyMs", 5000},
                          {"priority", 1},
                          {"service", r.to_engines ? "e" : "s"},
                          {"maxAttempts", 3},
                          {"resumable", r.resumable}});
    return json{{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "s"}, {"maxConnections", 200}},
                  {{"name", "e"},
                   {"maxConnections", 200},
                   {"engine", engine_description()}}}}}
        .dump();
}

std::string entry_text(std::uint16_t port, std::int64_t started_ms,
                       const std::string& service, bool leaving)
{
    return json{{"service", service},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", "z"},
                {"slots", 6},
                {"state", leaving ? "draining" : "ready"},
                {"born", started_ms}}
        .dump();
}

std::string settings_text(const instance_description& instance)
{
    const std::string& ip = instance.address;
    return "nodeName=" + instance.name + "\nipAddress=" + ip +
           "\nzone=z\nlistenAddresses.frontend=" + ip + ":" +
           std::to_string(instance_callers_port) +
           "\nlistenAddresses.ready=" + ip +
           ":8141\nlistenAddresses.control=" + ip +
           ":8144\ninternalPortRange=7380,7395\nseeds=" + instance.seed +
           ":8144\nbootstrap=" + (instance.first_start ? "true" : "false") +
           "\nlimits.fileDescriptors=1000\nbounds.gracePeriodS=" +
           std::to_string(instance.stop_grace_s) +
           "\nbounds.drainMs=" + std::to_string(instance.drain_ms) +
           "\nplatform.address=127.0.0.1:" +
           std::to_string(instance.store_port) + "\n";
}

std::string call_text(const call_description& call)
{
    std::string out =
        call.method + ' ' + call.path + " HTTP/1.1\r\nHost: h\r\n" +
        id_header(call.id) +
        field(header::time_left_ms, std::to_string(call.time_left_ms)) + "\r\n";
    if (!call.adapter.empty())
        out += adapter_header(call.adapter);
    if (!call.body.empty() || call.method == "POST")
        out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return out + "\r\n" + call.body;
}

std::string request_text(const std::string& id, const std::string& more,
                         const std::string& method)
{
    return method + " /p/x HTTP/1.1\r\nHost: h\r\n" + id_header(id) +
           field(header::time_left_ms, "15000") + "\r\n" + more + "\r\n";
}

std::string key_header(const std::string& key)
{
    return field(header::key, key) + "\r\n";
}

bool has_key(const seen_request& r)
{
    return r.head.has(header::key);
}

std::string workspace_header(const std::string& name)
{
    return field(header::workspace, name) + "\r\n";
}

std::string workspace_of(const seen_request& r)
{
    std::string out;
    for (const auto& h : r.head.headers)
        if (net::same_name(h.name, header::workspace))
            out += h.value + ';';
    return out;
}

std::string priority_of(const seen_request& r)
{
    return std::string(r.head.header(header::priority));
}

std::string signature_header()
{
    return field(header::target_signature, signature) + "\r\n";
}

std::string id_header(const std::string& id)
{
    return field(header::attempt_id, id) + "\r\n";
}

std::string adapter_header(const std::string& adapter)
{
    return field(header::model, "m/" + adapter) + "\r\n";
}

std::string prompt_header(std::initializer_list<std::string_view> ids)
{
    std::string parts;
    for (const auto id : ids) {
        parts += parts.empty() ? "" : ",";
        parts += id;
        parts += ":100";
    }
    return field(header::prompt_parts, parts) + "\r\n";
}

std::string attempt_id(const net::message_head& head)
{
    return std::string(head.header(header::attempt_id));
}

std::string attempt_id(const seen_request& r)
{
    return attempt_id(r.head);
}

std::string resume_after(const seen_request& r)
{
    return std::string(r.head.header(header::last_event_id));
}

std::string expected_target(const seen_request& r)
{
    return std::string(r.head.header(header::expected_target));
}

bool asks_for(const seen_request& r, const std::string& adapter)
{
    return r.head.header(header::model) == "m/" + adapter;
}

bool has_prompt_part(const seen_request& r, std::string_view id)
{
    const std::string parts =
        ',' + std::string(r.head.header(header::prompt_parts));
    return parts.find(',' + std::string(id) + ':') != std::string::npos;
}

bool is_order(const seen_request& r)
{
    return r.head.target == platform_wire::path::order;
}

std::optional<engine_order> order_of(const seen_request& r)
{
    const json j = json::parse(r.body, nullptr, false);
    if (!is_order(r) || !j.is_object())
        return std::nullopt;
    return engine_order{j.value("operation", "") == "load",
                        j.value("adapter", "")};
}

bool is_report(const seen_request& r)
{
    return r.head.target == platform_wire::path::report;
}

std::string system_header()
{
    return field(header::system_only[5], "forged") + "\r\n";
}

bool has_system_header(const seen_request& r)
{
    return r.head.has(header::system_only[5]);
}

std::string signed_bytes(const std::string& id, int status,
                         const std::string& body)
{
    return whole_answer(status,
                        {field(header::attempt_id, id),
                         field(header::target_signature, signature)},
                        body);
}

script signed_answer(const seen_request& r, int status, const std::string& body)
{
    return at_once(signed_bytes(attempt_id(r), status, body));
}

script unsigned_answer(const seen_request& r, const std::string& body)
{
    constexpr int ok = 200;
    return at_once(whole_answer(ok, {id_field(r)}, body));
}

script not_run(const seen_request& r, int status)
{
    return at_once(
        whole_answer(status, {id_field(r), field(header::not_run, "1")}, ""));
}

std::string leaving_header()
{
    return field(header::target_leaving, "1") + "\r\n";
}

std::string limit_header(const std::string& per_second)
{
    return field(header::target_limit, per_second) + "\r\n";
}

std::string pause_header(const std::string& seconds)
{
    return field(header::retry_after, seconds) + "\r\n";
}

script with_header(script answer, const std::string& header)
{
    constexpr std::string_view line_end = "\r\n";
    std::string& bytes = answer.front().bytes;
    bytes.insert(bytes.find(line_end) + line_end.size(), header);
    return answer;
}

script pausing_answer(const seen_request& r, const std::string& seconds)
{
    constexpr int unavailable = 503;
    return with_header(not_run(r, unavailable), pause_header(seconds));
}

script misdirected(const seen_request& r)
{
    constexpr int status = 421;
    return at_once(whole_answer(status, {id_field(r)}, ""));
}

std::string stream_head(const seen_request& r)
{
    return "HTTP/1.1 200 OK\r\n" + id_field(r) + "\r\n" +
           field(header::target_signature, signature) +
           "\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string event(int id)
{
    const std::string number = std::to_string(id);
    return "id: " + number + "\ndata: e" + number + "\n\n";
}

std::string promising_head(const seen_request& r, int bytes)
{
    return "HTTP/1.1 200 OK\r\n" + id_field(r) + "\r\n" +
           field(header::target_signature, signature) +
           "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

script report_answer(const std::string& adapters_json,
                     std::uint64_t accepted_orders)
{
    constexpr int ok = 200;
    return at_once(whole_answer(
        ok, {"Content-Type: application/json"},
        R"({"models":[{"name":"m","version":1,"adapters":)" + adapters_json +
            R"(}],"busy":false,"running":0,"waiting":0,"sequence":)" +
            std::to_string(accepted_orders) + "}"));
}

bool is_signed(const net::message_head& head)
{
    return head.header(header::target_signature) == signature;
}

} // namespace lovagegate::standins
