#ifndef LOVAGEGATE_OPENAI_COMPLETION_REQUEST_HPP
#define LOVAGEGATE_OPENAI_COMPLETION_REQUEST_HPP

#include "lovagegate/openai/request_error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagegate::openai {

/// The two API calls that engines serve.
enum class completion_kind : std::uint8_t
{
    chat, ///< POST /v1/chat/completions
    text, ///< POST /v1/completions
};

/// @return the path of the call
[[nodiscard]] std::string_view endpoint_path(completion_kind kind) noexcept;

/// Deepest nesting of a JSON body that is accepted.
inline constexpr int max_nesting_depth = 64;

/// A checked request body: the fields that routing needs, and the other fields
/// unchanged.
class completion_request
{
public:
    /// @param kind API call of the request
    /// @param body JSON in UTF-8
    /// @throws request_error if it is not a request of this kind
    completion_request(completion_kind kind, std::string_view body);

    [[nodiscard]] completion_kind kind() const noexcept { return kind_; }

    /// @return the model field: ADAPTER or ADAPTER@VERSION
    [[nodiscard]] const std::string& model() const noexcept { return model_; }

    /// @return whether the answer is an event stream
    [[nodiscard]] bool is_stream() const noexcept { return stream_; }

    /// @return the body without the model, normalized: equal for bodies that
    ///         differ only in white space and order of fields
    [[nodiscard]] const std::string& normalized_body() const noexcept
    {
        return normalized_body_;
    }

    /// @return hash of the first bytes of the prompt; prompts with the same
    ///         start have the same hash
    [[nodiscard]] std::uint64_t prompt_prefix_hash() const noexcept
    {
        return prompt_prefix_hash_;
    }

    /// @param model name of the adapter on the engine
    /// @return the body to send to the engine
    [[nodiscard]] std::string body_for(std::string_view model) const;

private:
    completion_kind kind_;
    std::string model_;
    bool stream_ = false;
    std::string normalized_body_;
    std::uint64_t prompt_prefix_hash_ = 0;
};

} // namespace lovagegate::openai

#endif
