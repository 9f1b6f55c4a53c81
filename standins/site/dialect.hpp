#ifndef LOVAGEGATE_STANDINS_SITE_DIALECT_HPP
#define LOVAGEGATE_STANDINS_SITE_DIALECT_HPP

#include "standins/site/scripted_server.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// What the users' platform, its callers and its targets say on the wire, for
/// scripts and tests.
namespace lovagegate::standins {

/// A workspace in the configuration, with one key.
struct workspace_description
{
    std::string name;
    std::string key;
    std::optional<int> priority{};
    double rate_per_s = 0; ///< requests; 0: no limit
};

/// One route to one service "s" with all targets.
struct site_description
{
    std::string kind = "idempotent";
    bool resumable = false;
    int attempts = 2;
    int version = 1;
    std::string prefix = "/p/";
    int latency_objective_ms = 5000;
    /// The targets are engines, which hold one model, "m", and adapters.
    bool engines = false;
    /// How long a caller's connection may be idle; 0 names no limits.
    int idle_timeout_ms = 0;
    /// Callers need keys if there are any.
    std::vector<workspace_description> workspaces{};
    bool anonymous = false; ///< the route needs no key
};

/// @return the operator's configuration
[[nodiscard]] std::string config_text(const site_description& site);

/// One of several routes to service "s", of plain targets, or "e", of engines.
struct route_description
{
    std::string prefix;
    std::string kind;
    bool resumable = false;
    bool to_engines = false; ///< to service "e" instead
};

/// @return a configuration of several routes of host "h"
[[nodiscard]] std::string config_text(std::uint64_t version,
                                      std::span<const route_description> all);

/// @return what a ready target publishes about itself
/// @param started_ms Unix time of its start
/// @param service that it belongs to
/// @param leaving it says that it leaves, instead of that it is ready
[[nodiscard]] std::string entry_text(std::uint16_t port,
                                     std::int64_t started_ms = 1,
                                     const std::string& service = "s",
                                     bool leaving = false);

/// What an instance's settings file says that differs between instances.
struct instance_description
{
    std::string name;
    std::string address; ///< IP number
    std::string seed;    ///< IP number of another instance
    std::uint16_t store_port = 0;
    int stop_grace_s = 0;
    int drain_ms = 0; ///< after the notice of a leaving target
    bool first_start = false;
};

/// Port on which the instances of such a file take callers.
inline constexpr std::uint16_t instance_callers_port = 8149;

/// @return text of an instance's settings file
[[nodiscard]] std::string settings_text(const instance_description& instance);

/// One attempt of a caller.
struct call_description
{
    std::string method;
    std::string path;
    std::string id;
    std::string body;
    int time_left_ms = 0;
    std::string adapter; ///< of model "m", empty for plain services
};

/// @return the whole request, with a length if it has a body
[[nodiscard]] std::string call_text(const call_description& call);

/// @return a caller's request for the route, without a body
/// @param more further headers, each with its line end
[[nodiscard]] std::string request_text(const std::string& id,
                                       const std::string& more = {},
                                       const std::string& method = "GET");

/// @return the header that bears a workspace's key
[[nodiscard]] std::string key_header(const std::string& key);
[[nodiscard]] bool has_key(const seen_request& r);
/// @return the header that names the workspace, which only the gateway sets
[[nodiscard]] std::string workspace_header(const std::string& name);
/// @return all values of that header, each followed by a semicolon
[[nodiscard]] std::string workspace_of(const seen_request& r);
/// @return the request's priority as sent to its target
[[nodiscard]] std::string priority_of(const seen_request& r);

/// @return the header that shows that a target made the answer
[[nodiscard]] std::string signature_header();

/// @return the header that bears an attempt's id
[[nodiscard]] std::string id_header(const std::string& id);

/// @return a header that asks for an adapter of model "m"
[[nodiscard]] std::string adapter_header(const std::string& adapter);

/// @return a header that lists the parts of a request's prompt
/// @param ids of the parts, in order; the last one belongs to the request
[[nodiscard]] std::string
prompt_header(std::initializer_list<std::string_view> ids);

[[nodiscard]] std::string attempt_id(const net::message_head& head);
[[nodiscard]] std::string attempt_id(const seen_request& r);
/// @return id of the last event that the sender has, empty for none
[[nodiscard]] std::string resume_after(const seen_request& r);
[[nodiscard]] std::string expected_target(const seen_request& r);
[[nodiscard]] bool asks_for(const seen_request& r, const std::string& adapter);
/// @return whether the request's prompt has the part
[[nodiscard]] bool has_prompt_part(const seen_request& r, std::string_view id);
[[nodiscard]] bool is_order(const seen_request& r);
/// What an order asks an engine to do.
struct engine_order
{
    bool load = true; ///< else to unload
    std::string adapter;
};

/// @return the order in a request, nothing if there is none
[[nodiscard]] std::optional<engine_order> order_of(const seen_request& r);
[[nodiscard]] bool is_report(const seen_request& r);

/// @return a header that is the system's to set
[[nodiscard]] std::string system_header();
[[nodiscard]] bool has_system_header(const seen_request& r);

/// @return the answer of a target that ran the request
[[nodiscard]] script signed_answer(const seen_request& r, int status,
                                   const std::string& body);
/// @param id of the request that the answer is for
[[nodiscard]] std::string signed_bytes(const std::string& id, int status,
                                       const std::string& body);
[[nodiscard]] script unsigned_answer(const seen_request& r,
                                     const std::string& body);

/// @return the answer of a target that did not run the request
[[nodiscard]] script not_run(const seen_request& r, int status);

/// @return a header that says that the target leaves
[[nodiscard]] std::string leaving_header();

/// @return the header of a target that takes so many requests a second
[[nodiscard]] std::string limit_header(const std::string& per_second);

/// @return a header that says when the target takes requests again
/// @param seconds as written, so that it may be malformed
[[nodiscard]] std::string pause_header(const std::string& seconds);

/// @param header with its line end
/// @return the answer with one more header, before the others
[[nodiscard]] script with_header(script answer, const std::string& header);

/// @return the answer of a target that did not run the request and wants none
///         for some time
[[nodiscard]] script pausing_answer(const seen_request& r,
                                    const std::string& seconds);

/// @return the answer of a target that lacks what was asked for, or is another
///         one than expected
[[nodiscard]] script misdirected(const seen_request& r);

/// @return head of an event stream that ends with its connection
[[nodiscard]] std::string stream_head(const seen_request& r);
[[nodiscard]] std::string event(int id);

/// @return head of an answer that declares more bytes than follow
[[nodiscard]] std::string promising_head(const seen_request& r, int bytes);

/// @return an engine's report
[[nodiscard]] script report_answer(const std::string& adapters_json,
                                   std::uint64_t accepted_orders = 0);

/// @return whether an answer bears a target's signature
[[nodiscard]] bool is_signed(const net::message_head& head);

} // namespace lovagegate::standins

#endif
