#include "lovagegate/settings/internal/schema.hpp"

#include "lovagegate/settings/units.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace lovagegate::settings::internal {

namespace {

constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
constexpr std::size_t max_name_length = 64;

/// Names one setting: its section and key in the file and its member.
template <typename Section, typename Value>
struct setting_location
{
    std::string_view section;
    std::string_view key;
    Section settings::*part;
    Value Section::*member;
};

template <typename Section, typename Value>
setting_location(std::string_view, std::string_view, Section settings::*,
                 Value Section::*) -> setting_location<Section, Value>;

/// @param parse converts a text to an optional value
template <typename Section, typename Value, typename Parse>
field make_field(setting_location<Section, Value> at, std::string expected,
                 Parse parse)
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

/// @return a parser that also rejects values out of the range
template <typename Value>
auto parse_in_range(std::optional<Value> (*parse)(std::string_view),
                    Value min_value, Value max_value)
{
    return [=](const std::string& text) {
        auto value = parse(text);
        return value && *value >= min_value && *value <= max_value
                   ? value
                   : std::nullopt;
    };
}

template <typename Section>
field duration_field(setting_location<Section, duration> at, duration min_value,
                     duration max_value)
{
    return make_field(at,
                      "a duration from " + format_duration(min_value) + " to " +
                          format_duration(max_value) +
                          " with its unit (us, ms, s, min, h)",
                      parse_in_range(&parse_duration, min_value, max_value));
}

template <typename Section>
field bytes_field(setting_location<Section, std::size_t> at,
                  std::size_t min_value, std::size_t max_value)
{
    return make_field(at,
                      "a size from " + format_bytes(min_value) + " to " +
                          format_bytes(max_value) +
                          " with its unit (B, KiB, MiB)",
                      parse_in_range(&parse_bytes, min_value, max_value));
}

template <typename Section>
field count_field(setting_location<Section, std::size_t> at,
                  std::size_t min_value, std::size_t max_value)
{
    return make_field(at,
                      "a whole number from " + std::to_string(min_value) +
                          " to " + std::to_string(max_value),
                      parse_in_range(&parse_count, min_value, max_value));
}

template <typename Section>
field number_field(setting_location<Section, double> at, int max_value)
{
    return make_field(
        at, "a decimal number from 0 to " + std::to_string(max_value),
        parse_in_range(&parse_number, 0.0, static_cast<double>(max_value)));
}

template <typename Section>
field endpoint_field(setting_location<Section, endpoint> at)
{
    return required(make_field(at, "an IP number and a port, ADDRESS:PORT",
                               &parse_endpoint));
}

template <typename Section, typename Name>
field name_field(setting_location<Section, Name> at)
{
    auto parse = [](const std::string& text) -> std::optional<Name> {
        const bool valid =
            !text.empty() && text.size() <= max_name_length &&
            text.find_first_not_of(name_characters) == std::string::npos;
        return valid ? std::optional<Name>(Name(text)) : std::nullopt;
    };
    return required(make_field(
        at, "a name of at most 64 letters, digits, '-', '_' and '.'", parse));
}

field deadline_field(std::string_view key, priority p)
{
    constexpr duration min_value = 100ms;
    constexpr duration max_value = 48h;
    const auto parse = parse_in_range(&parse_duration, min_value, max_value);
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

void add_instance(std::vector<field>& fields)
{
    using i = instance_settings;
    constexpr std::string_view section = "instance";
    constexpr auto part = &settings::instance;
    fields.push_back(
        name_field(setting_location{section, "name", part, &i::name}));
    fields.push_back(name_field(
        setting_location{section, "failure-domain", part, &i::failure_domain}));
    fields.push_back(
        endpoint_field(setting_location{section, "listen", part, &i::listen}));
    fields.push_back(endpoint_field(
        setting_location{section, "peer-listen", part, &i::peer_listen}));
}

void add_platform(std::vector<field>& fields)
{
    using p = platform_settings;
    constexpr std::string_view section = "platform";
    constexpr auto part = &settings::platform;
    fields.push_back(endpoint_field(
        setting_location{section, "config-address", part, &p::config_address}));
    fields.push_back(endpoint_field(
        setting_location{section, "list-address", part, &p::list_address}));
    fields.push_back(duration_field(
        setting_location{section, "watch-wait", part, &p::watch_wait}, 100ms,
        10min));
    fields.push_back(duration_field(
        setting_location{section, "list-lag", part, &p::list_lag}, 100ms,
        5min));
    fields.push_back(duration_field(
        setting_location{section, "list-fresh", part, &p::list_fresh}, 100ms,
        10min));
    fields.push_back(duration_field(
        setting_location{section, "clock-skew", part, &p::clock_skew}, 0s,
        1min));
}

void add_peers(std::vector<field>& fields)
{
    using p = peer_settings;
    constexpr std::string_view section = "peers";
    constexpr auto part = &settings::peers;
    fields.push_back(required(
        make_field(setting_location{section, "key-file", part, &p::key_file},
                   "a path", &parse_path)));
    fields.push_back(duration_field(
        setting_location{section, "heartbeat", part, &p::heartbeat}, 50ms,
        30s));
    fields.push_back(count_field(
        setting_location{section, "fanout", part, &p::fanout}, 1, 32));
}

void add_pool_times(std::vector<field>& fields)
{
    using p = pool_settings;
    constexpr std::string_view section = "pool";
    constexpr auto part = &settings::pool;
    fields.push_back(duration_field(
        setting_location{section, "lease-ttl", part, &p::lease_ttl}, 500ms,
        5min));
    fields.push_back(duration_field(
        setting_location{section, "send-window", part, &p::send_window}, 100ms,
        1min));
    fields.push_back(duration_field(
        setting_location{section, "report-lag", part, &p::report_lag}, 100ms,
        1min));
    fields.push_back(duration_field(
        setting_location{section, "report-interval", part, &p::report_interval},
        50ms, 1min));
    fields.push_back(duration_field(
        setting_location{section, "batch-hold", part, &p::batch_hold}, 0s, 1h));
}

void add_pool_sizes(std::vector<field>& fields)
{
    using p = pool_settings;
    constexpr std::string_view section = "pool";
    constexpr auto part = &settings::pool;
    fields.push_back(count_field(
        setting_location{section, "pool-size", part, &p::pool_size}, 1, 256));
    fields.push_back(count_field(
        setting_location{section, "engine-slots", part, &p::engine_slots}, 1,
        1024));
    fields.push_back(count_field(
        setting_location{section, "queue-limit", part, &p::queue_limit}, 1,
        100'000));
    fields.push_back(number_field(
        setting_location{section, "stall-weight", part, &p::stall_weight},
        100));
    fields.push_back(number_field(
        setting_location{section, "batch-weight", part, &p::batch_weight},
        100));
}

void add_limit_sizes(std::vector<field>& fields)
{
    using l = limit_settings;
    constexpr std::string_view section = "limits";
    constexpr auto part = &settings::limits;
    fields.push_back(
        count_field(setting_location{section, "service-open-requests", part,
                                     &l::service_open_requests},
                    1, 100'000));
    fields.push_back(count_field(
        setting_location{section, "connections", part, &l::connections}, 1,
        100'000));
    fields.push_back(bytes_field(
        setting_location{section, "header-bytes", part, &l::header_bytes},
        kibibyte, mebibyte));
    fields.push_back(bytes_field(
        setting_location{section, "body-bytes", part, &l::body_bytes}, kibibyte,
        64 * mebibyte));
    fields.push_back(bytes_field(
        setting_location{section, "stream-buffer", part, &l::stream_buffer},
        4 * kibibyte, 16 * mebibyte));
    fields.push_back(number_field(
        setting_location{section, "retry-share", part, &l::retry_share}, 1));
    fields.push_back(count_field(
        setting_location{section, "retries", part, &l::retries}, 0, 10));
}

void add_limit_times(std::vector<field>& fields)
{
    using l = limit_settings;
    constexpr std::string_view section = "limits";
    constexpr auto part = &settings::limits;
    fields.push_back(duration_field(
        setting_location{section, "request-timeout", part, &l::request_timeout},
        100ms, 5min));
    fields.push_back(duration_field(
        setting_location{section, "target-timeout", part, &l::target_timeout},
        100ms, 1h));
    fields.push_back(
        deadline_field("deadline-interactive", priority::interactive));
    fields.push_back(deadline_field("deadline-normal", priority::normal));
    fields.push_back(deadline_field("deadline-batch", priority::batch));
    fields.push_back(duration_field(
        setting_location{section, "drain-deadline", part, &l::drain_deadline},
        0s, 1h));
}

void add_quarantine_and_log(std::vector<field>& fields)
{
    fields.push_back(count_field(
        setting_location{"quarantine", "crash-limit", &settings::quarantine,
                         &quarantine_settings::crash_limit},
        1, 2));
    fields.push_back(duration_field(
        setting_location{"quarantine", "memory", &settings::quarantine,
                         &quarantine_settings::memory},
        1min, 48h));
    fields.push_back(make_field(
        setting_location{"log", "level", &settings::log, &log_settings::level},
        "debug, info, warning or error", &parse_level));
}

std::vector<field> all_fields()
{
    std::vector<field> fields;
    add_instance(fields);
    add_platform(fields);
    add_peers(fields);
    add_pool_times(fields);
    add_pool_sizes(fields);
    add_limit_sizes(fields);
    add_limit_times(fields);
    add_quarantine_and_log(fields);
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
