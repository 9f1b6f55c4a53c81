#ifndef LOVAGEGATE_STANDINS_ENGINE_GENERATION_HPP
#define LOVAGEGATE_STANDINS_ENGINE_GENERATION_HPP

#include "lovagegate/net/http_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovagegate::standins {

/// One request for a completion and its answer, in the OpenAI API's shape.
/// The text names the adapter and repeats words of the prompt, so that an
/// answer to another request can be told apart.
class generation
{
public:
    /// @param e request, a chat completion or a plain one
    /// @param body its parsed body
    generation(net::exchange_ptr e, const nlohmann::json& body);

    /// Makes the next token; a streamed one is sent at once.
    /// @param headers of the answer, sent with the first token
    void next_token(const net::header_list& headers);
    /// @return whether all tokens were made
    [[nodiscard]] bool is_complete() const { return made_ >= wanted_; }
    /// Sends the end of the answer.
    void finish(const net::header_list& headers);

    [[nodiscard]] const std::string& model() const { return model_; }
    [[nodiscard]] const std::string& prompt() const { return prompt_; }
    [[nodiscard]] std::string request_id() const;
    [[nodiscard]] int priority() const { return priority_; }
    [[nodiscard]] net::exchange& exchange() { return *exchange_; }

private:
    [[nodiscard]] std::string token(std::size_t index) const;
    [[nodiscard]] nlohmann::json chunk(const std::string& text,
                                       bool last) const;
    [[nodiscard]] nlohmann::json whole() const;
    void send(const nlohmann::json& event);

    net::exchange_ptr exchange_;
    std::string model_;
    std::string prompt_;
    std::vector<std::string> words_;
    std::string text_;
    std::size_t wanted_ = 0;
    std::size_t made_ = 0;
    int priority_ = 0;
    bool chat_ = true;
    bool stream_ = false;
};

using generation_ptr = std::shared_ptr<generation>;

} // namespace lovagegate::standins

#endif
