#ifndef LOVAGEGATE_ENGINE_REPORT_PARSER_HPP
#define LOVAGEGATE_ENGINE_REPORT_PARSER_HPP

#include "lovagegate/engine/error.hpp"
#include "lovagegate/node/inputs.hpp"

#include <string_view>

namespace lovagegate::engine {

/// Puts a report together from the two pages that an engine publishes.
/// @param target the engine that was asked
/// @param models body of GET /v1/models: base models and loaded adapters
/// @param metrics body of GET /metrics in the Prometheus text format
/// @throws report_error when either is not of the published form
[[nodiscard]] node::engine_report parse_report(const target_id& target,
                                               std::string_view models,
                                               std::string_view metrics);

/// @param name ADAPTER@VERSION, as engines know an adapter
/// @return the adapter, without a version when the name has no '@'
[[nodiscard]] adapter_version parse_adapter_name(std::string_view name);

} // namespace lovagegate::engine

#endif
