#include "lovagegate/openai/completion_request.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/openai/internal/bounded_json.hpp"

namespace lovagegate::openai {

namespace {

using nlohmann::json;

/// Length of the prompt's start that is hashed to choose an engine that may
/// have it in its prefix cache.
constexpr std::size_t prefix_bytes = 256;

const json& require(const json& body, const char* field)
{
    const auto it = body.find(field);
    if (it == body.end())
        throw request_error(request_problem::missing, field);
    return *it;
}

std::string read_model(const json& body)
{
    const json& model = require(body, "model");
    if (!model.is_string() || model.get_ref<const std::string&>().empty())
        throw request_error(request_problem::wrong_type, "model");
    return model.get<std::string>();
}

bool read_stream(const json& body)
{
    const auto it = body.find("stream");
    if (it == body.end() || it->is_null())
        return false;
    if (!it->is_boolean())
        throw request_error(request_problem::wrong_type, "stream");
    return it->get<bool>();
}

const json& read_prompt(const json& body, completion_kind kind)
{
    if (kind == completion_kind::text) {
        const json& prompt = require(body, "prompt");
        if (!prompt.is_string() && !prompt.is_array())
            throw request_error(request_problem::wrong_type, "prompt");
        return prompt;
    }
    const json& messages = require(body, "messages");
    if (!messages.is_array() || messages.empty())
        throw request_error(request_problem::wrong_type, "messages");
    for (const json& m : messages)
        if (!m.is_object() || !m.contains("role") || !m["role"].is_string())
            throw request_error(request_problem::wrong_type, "messages");
    return messages;
}

} // namespace

std::string_view endpoint_path(completion_kind kind) noexcept
{
    return kind == completion_kind::chat ? "/v1/chat/completions"
                                         : "/v1/completions";
}

completion_request::completion_request(completion_kind kind,
                                       std::string_view text)
    : kind_(kind)
{
    json body = internal::parse_object(text);
    model_ = read_model(body);
    stream_ = read_stream(body);
    const std::string prompt = read_prompt(body, kind).dump();
    prompt_prefix_hash_ =
        stable_hash(std::string_view(prompt).substr(0, prefix_bytes));
    body.erase("model");
    normalized_body_ = body.dump();
}

std::string completion_request::body_for(std::string_view model) const
{
    std::string body = "{\"model\":" + json(model).dump();
    // A checked request has a prompt, so normalized_body_ is never "{}".
    body += ',';
    body += std::string_view(normalized_body_).substr(1);
    return body;
}

} // namespace lovagegate::openai
