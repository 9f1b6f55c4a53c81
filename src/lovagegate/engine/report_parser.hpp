#ifndef LOVAGEGATE_ENGINE_REPORT_PARSER_HPP
#define LOVAGEGATE_ENGINE_REPORT_PARSER_HPP

#include "lovagegate/engine/error.hpp"
#include "lovagegate/node/inputs.hpp"

#include <string_view>

namespace lovagegate::engine {

/// Combines the two pages that an engine publishes into a load report.
/// @param target the engine that sent the pages
/// @param models body of GET /v1/models: base models and loaded adapters
/// @param metrics body of GET /metrics in the Prometheus text format
/// @throws report_error if either does not have the documented format
[[nodiscard]] node::engine_report parse_report(const target_id& target,
                                               std::string_view models,
                                               std::string_view metrics);

/// Splits the name under which an engine lists an adapter.
/// @param name ADAPTER@VERSION
/// @return the adapter, with an empty version if the name has no '@'
[[nodiscard]] adapter_version parse_adapter_name(std::string_view name);

} // namespace lovagegate::engine

#endif
