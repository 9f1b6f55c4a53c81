#ifndef LOVAGEGATE_GATEWAY_INTERNAL_CRASH_MESSAGE_CODEC_HPP
#define LOVAGEGATE_GATEWAY_INTERNAL_CRASH_MESSAGE_CODEC_HPP

#include "lovagegate/gateway/peer_messages.hpp"

#include <nlohmann/json.hpp>

/// Encoding of the messages about crashes of engines. Readers throw
/// nlohmann::json::exception if a field is missing or of another type.
namespace lovagegate::gateway::internal {

[[nodiscard]] nlohmann::json write(const crash_notice& m);
[[nodiscard]] nlohmann::json write(const crash_digest& m);
[[nodiscard]] nlohmann::json write(const answered_prompt_parts& m);
[[nodiscard]] nlohmann::json write(const blocked_prompt_parts& m);

[[nodiscard]] crash_notice read_crash_notice(const nlohmann::json& j);
/// Reads a notice of earlier versions, which names one request.
[[nodiscard]] crash_notice read_single_crash_notice(const nlohmann::json& j);
[[nodiscard]] crash_digest read_crash_digest(const nlohmann::json& j);
[[nodiscard]] answered_prompt_parts
read_answered_parts(const nlohmann::json& j);
[[nodiscard]] blocked_prompt_parts read_blocked_parts(const nlohmann::json& j);

} // namespace lovagegate::gateway::internal

#endif
