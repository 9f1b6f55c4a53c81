#include "lovagegate/settings/internal/schema.hpp"

#include "lovagegate/settings/units.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace lovagegate::settings::internal {

namespace {

constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
constexpr std::size_t longest_name = 64;

/// A place in the settings: one member of one section.
template <typename Section, typename Value>
struct place
{
    std::string_view section;
    std::string_view key;
    Section settings::*part;
    Value Section::*member;
};

template <typename Section, typename Value>
place(std::string_view, std::string_view, Section settings::*, Value Section::*)
    -> place<Section, Value>;

/// @param parse gives an optional value for a text
template <typename Section, typename Value, typename Parse>
field make_field(place<Section, Value> at, std::string expected, Parse parse)
{
    auto assign = [at, parse](settings& into, const std::string& text) {
        auto value = parse(text);
        if (value) {
            into.*at.part.*at.member = std::move(*value);
        }
        return value.has_value();
    };
    return {at.section, at.key, false, std::move(expected), std::move(assign)};
}

field required(field f)
{
    f.required = true;
    return f;
}

template <typename Value>
auto within(std::optional<Value> (*parse)(std::string_view), Value least,
            Value most)
{
    return [=](const std::string& text) {
        auto value = parse(text);
        return value && *value >= least && *value <= most ? value
                                                          : std::nullopt;
    };
}

template <typename Section>
field duration_field(place<Section, duration> at, duration least, duration most)
{
    return make_field(at,
                      "a duration from " + show_duration(least) + " to " +
                          show_duration(most) +
                          " with its unit (us, ms, s, min, h)",
                      within(&parse_duration, least, most));
}

template <typename Section>
field bytes_field(place<Section, std::size_t> at, std::size_t least,
                  std::size_t most)
{
    return make_field(at,
                      "a size from " + show_bytes(least) + " to " +
                          show_bytes(most) + " with its unit (B, KiB, MiB)",
                      within(&parse_bytes, least, most));
}

template <typename Section>
field count_field(place<Section, std::size_t> at, std::size_t least,
                  std::size_t most)
{
    return make_field(at,
                      "a whole number from " + std::to_string(least) + " to " +
                          std::to_string(most),
                      within(&parse_count, least, most));
}

template <typename Section>
field number_field(place<Section, double> at, int most)
{
    return make_field(at, "a decimal number from 0 to " + std::to_string(most),
                      within(&parse_number, 0.0, static_cast<double>(most)));
}

template <typename Section>
field endpoint_field(place<Section, endpoint> at)
{
    return required(make_field(at, "an IP number and a port, ADDRESS:PORT",
                               &parse_endpoint));
}

template <typename Section, typename Name>
field name_field(place<Section, Name> at)
{
    auto parse = [](const std::string& text) -> std::optional<Name> {
        const bool good =
            !text.empty() && text.size() <= longest_name &&
            text.find_first_not_of(name_characters) == std::string::npos;
        return good ? std::optional<Name>(Name(text)) : std::nullopt;
    };
    return required(make_field(
        at, "a name of at most 64 letters, digits, '-', '_' and '.'", parse));
}

field deadline_field(std::string_view key, priority p)
{
    constexpr duration least = 100ms;
    constexpr duration most = 48h;
    const auto parse = within(&parse_duration, least, most);
    auto assign = [parse, p](settings& into, const std::string& text) {
        const auto value = parse(text);
        if (value) {
            into.limits.deadline.at(static_cast<std::size_t>(p)) = *value;
        }
        return value.has_value();
    };
    return {"limits", key, false,
            "a duration from 100ms to 48h with its unit (us, ms, s, min, h)",
            std::move(assign)};
}

std::optional<std::string> parse_path(std::string_view text)
{
    return text.empty() ? std::nullopt
                        : std::optional<std::string>(std::string(text));
}

std::optional<log_level> parse_level(std::string_view text)
{
    constexpr std::array<std::string_view, 4> names = {"debug", "info",
                                                       "warning", "error"};
    const auto* found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<log_level>(found - names.begin());
}

void add_identity(std::vector<field>& fields)
{
    using i = instance_settings;
    constexpr std::string_view section = "instance";
    constexpr auto part = &settings::instance;
    fields.push_back(name_field(place{section, "name", part, &i::name}));
    fields.push_back(
        name_field(place{section, "failure-domain", part, &i::failure_domain}));
    fields.push_back(
        endpoint_field(place{section, "listen", part, &i::listen}));
    fields.push_back(
        endpoint_field(place{section, "peer-listen", part, &i::peer_listen}));
}

void add_platform(std::vector<field>& fields)
{
    using p = platform_settings;
    constexpr std::string_view section = "platform";
    constexpr auto part = &settings::platform;
    fields.push_back(endpoint_field(
        place{section, "config-address", part, &p::config_address}));
    fields.push_back(
        endpoint_field(place{section, "list-address", part, &p::list_address}));
    fields.push_back(duration_field(
        place{section, "watch-wait", part, &p::watch_wait}, 100ms, 10min));
    fields.push_back(duration_field(
        place{section, "list-lag", part, &p::list_lag}, 100ms, 5min));
    fields.push_back(duration_field(
        place{section, "list-fresh", part, &p::list_fresh}, 100ms, 10min));
    fields.push_back(duration_field(
        place{section, "clock-skew", part, &p::clock_skew}, 0s, 1min));
}

void add_peers(std::vector<field>& fields)
{
    using p = peer_settings;
    constexpr std::string_view section = "peers";
    constexpr auto part = &settings::peers;
    fields.push_back(
        required(make_field(place{section, "key-file", part, &p::key_file},
                            "a path", &parse_path)));
    fields.push_back(duration_field(
        place{section, "heartbeat", part, &p::heartbeat}, 50ms, 30s));
    fields.push_back(
        count_field(place{section, "fanout", part, &p::fanout}, 1, 32));
}

void add_pool_times(std::vector<field>& fields)
{
    using p = pool_settings;
    constexpr std::string_view section = "pool";
    constexpr auto part = &settings::pool;
    fields.push_back(duration_field(
        place{section, "lease-ttl", part, &p::lease_ttl}, 500ms, 5min));
    fields.push_back(duration_field(
        place{section, "send-window", part, &p::send_window}, 100ms, 1min));
    fields.push_back(duration_field(
        place{section, "report-lag", part, &p::report_lag}, 100ms, 1min));
    fields.push_back(duration_field(
        place{section, "report-interval", part, &p::report_interval}, 50ms,
        1min));
    fields.push_back(duration_field(
        place{section, "batch-hold", part, &p::batch_hold}, 0s, 1h));
}

void add_pool_sizes(std::vector<field>& fields)
{
    using p = pool_settings;
    constexpr std::string_view section = "pool";
    constexpr auto part = &settings::pool;
    fields.push_back(
        count_field(place{section, "pool-size", part, &p::pool_size}, 1, 256));
    fields.push_back(count_field(
        place{section, "engine-slots", part, &p::engine_slots}, 1, 1024));
    fields.push_back(count_field(
        place{section, "queue-limit", part, &p::queue_limit}, 1, 100'000));
    fields.push_back(number_field(
        place{section, "stall-weight", part, &p::stall_weight}, 100));
    fields.push_back(number_field(
        place{section, "batch-weight", part, &p::batch_weight}, 100));
}

void add_limit_sizes(std::vector<field>& fields)
{
    using l = limit_settings;
    constexpr std::string_view section = "limits";
    constexpr auto part = &settings::limits;
    fields.push_back(count_field(place{section, "service-open-requests", part,
                                       &l::service_open_requests},
                                 1, 100'000));
    fields.push_back(count_field(
        place{section, "connections", part, &l::connections}, 1, 100'000));
    fields.push_back(
        bytes_field(place{section, "header-bytes", part, &l::header_bytes},
                    kibibyte, mebibyte));
    fields.push_back(
        bytes_field(place{section, "body-bytes", part, &l::body_bytes},
                    kibibyte, 64 * mebibyte));
    fields.push_back(
        bytes_field(place{section, "stream-buffer", part, &l::stream_buffer},
                    4 * kibibyte, 16 * mebibyte));
    fields.push_back(
        number_field(place{section, "retry-share", part, &l::retry_share}, 1));
    fields.push_back(
        count_field(place{section, "retries", part, &l::retries}, 0, 10));
}

void add_limit_times(std::vector<field>& fields)
{
    using l = limit_settings;
    constexpr std::string_view section = "limits";
    constexpr auto part = &settings::limits;
    fields.push_back(duration_field(
        place{section, "request-timeout", part, &l::request_timeout}, 100ms,
        5min));
    fields.push_back(duration_field(
        place{section, "target-timeout", part, &l::target_timeout}, 100ms, 1h));
    fields.push_back(
        deadline_field("deadline-interactive", priority::interactive));
    fields.push_back(deadline_field("deadline-normal", priority::normal));
    fields.push_back(deadline_field("deadline-batch", priority::batch));
    fields.push_back(duration_field(
        place{section, "drain-deadline", part, &l::drain_deadline}, 0s, 1h));
}

void add_others(std::vector<field>& fields)
{
    fields.push_back(
        count_field(place{"quarantine", "crash-limit", &settings::quarantine,
                          &quarantine_settings::crash_limit},
                    1, 2));
    fields.push_back(
        duration_field(place{"quarantine", "memory", &settings::quarantine,
                             &quarantine_settings::memory},
                       1min, 48h));
    fields.push_back(
        make_field(place{"log", "level", &settings::log, &log_settings::level},
                   "debug, info, warning or error", &parse_level));
}

std::vector<field> all_fields()
{
    std::vector<field> fields;
    add_identity(fields);
    add_platform(fields);
    add_peers(fields);
    add_pool_times(fields);
    add_pool_sizes(fields);
    add_limit_sizes(fields);
    add_limit_times(fields);
    add_others(fields);
    return fields;
}

} // namespace

const std::vector<field>& schema()
{
    static const std::vector<field> fields = all_fields();
    return fields;
}

const std::vector<constraint>& constraints()
{
    static const std::vector<constraint> all = {
        {"pool", "send-window", "less than pool.lease-ttl",
         [](const settings& s) {
             return s.pool.send_window < s.pool.lease_ttl;
         }},
        {"pool", "report-interval", "at most pool.report-lag",
         [](const settings& s) {
             return s.pool.report_interval <= s.pool.report_lag;
         }},
        {"instance", "peer-listen", "another port than instance.listen",
         [](const settings& s) {
             return s.instance.listen != s.instance.peer_listen;
         }},
    };
    return all;
}

} // namespace lovagegate::settings::internal
