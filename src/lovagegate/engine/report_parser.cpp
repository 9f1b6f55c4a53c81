#include "lovagegate/engine/report_parser.hpp"

#include "lovagegate/engine/internal/metric_line.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lovagegate::engine {
namespace {

using internal::metric_line;

/// 2^53: a double represents every whole number exactly up to this value.
constexpr double max_count = 9007199254740992.0;

std::uint64_t to_count(double value)
{
    if (!(value >= 0.0) || value > max_count)
        throw report_error("a count is not a number from 0 to 2^53");
    return static_cast<std::uint64_t>(value);
}

void read_models(std::string_view models, node::engine_report& report)
{
    const auto page =
        nlohmann::json::parse(models, nullptr, /*allow_exceptions=*/false);
    if (!page.is_object() || !page.contains("data") || !page["data"].is_array())
        throw report_error("/v1/models: no list under \"data\"");
    for (const auto& model : page["data"]) {
        if (!model.is_object() || !model.contains("id") ||
            !model["id"].is_string())
            throw report_error("/v1/models: a model without an \"id\"");
        // Base models are listed too; only the names of adapters have a
        // version.
        adapter_version a =
            parse_adapter_name(model["id"].get_ref<const std::string&>());
        if (!a.version.empty())
            report.resident.push_back({std::move(a), 0, 0});
    }
}

/// Increments the counter of each adapter in a comma-separated list.
void count_adapters(node::engine_report& report, std::string_view names,
                    std::uint32_t node::adapter_load::*counter)
{
    while (!names.empty()) {
        const std::size_t comma = names.find(',');
        const adapter_version a = parse_adapter_name(names.substr(0, comma));
        const auto it = std::find_if(
            report.resident.begin(), report.resident.end(),
            [&](const node::adapter_load& l) { return l.adapter == a; });
        if (it != report.resident.end()) {
            ++((*it).*counter);
        } else if (!a.version.empty()) {
            // An adapter in use is resident even if /v1/models does not list
            // it.
            report.resident.push_back({a, 0, 0});
            ++(report.resident.back().*counter);
        }
        if (comma == std::string_view::npos)
            return;
        names.remove_prefix(comma + 1);
    }
}

void read_sample(const metric_line& m, node::engine_report& report)
{
    if (m.name == "vllm:num_requests_running")
        report.running += static_cast<std::uint32_t>(to_count(m.value));
    else if (m.name == "vllm:num_requests_waiting")
        report.waiting += static_cast<std::uint32_t>(to_count(m.value));
    else if (m.name == "engine_incarnation")
        report.start = to_count(m.value);
    else if (m.name == "fencing_token")
        report.highest_token = to_count(m.value);
    else if (m.name == "vllm:lora_requests_info") {
        count_adapters(report, m.label("running_lora_adapters"),
                       &node::adapter_load::running);
        count_adapters(report, m.label("waiting_lora_adapters"),
                       &node::adapter_load::waiting);
    }
}

} // namespace

adapter_version parse_adapter_name(std::string_view name)
{
    const std::size_t at = name.rfind('@');
    if (at == std::string_view::npos)
        return {std::string(name), {}};
    return {std::string(name.substr(0, at)), std::string(name.substr(at + 1))};
}

node::engine_report parse_report(const target_id& target,
                                 std::string_view models,
                                 std::string_view metrics)
{
    node::engine_report report;
    report.target = target;
    read_models(models, report);
    while (!metrics.empty()) {
        const std::size_t end = metrics.find('\n');
        if (const auto m = internal::parse_metric_line(metrics.substr(0, end)))
            read_sample(*m, report);
        if (end == std::string_view::npos)
            break;
        metrics.remove_prefix(end + 1);
    }
    return report;
}

} // namespace lovagegate::engine
