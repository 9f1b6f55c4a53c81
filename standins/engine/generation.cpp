#include "standins/engine/generation.hpp"

#include "standins/common/json_answer.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace lovagegate::standins {

namespace {

using nlohmann::json;

constexpr std::size_t default_tokens = 16;
constexpr std::size_t most_tokens = 100'000;
constexpr std::string_view chat_path = "/v1/chat/completions";

/// @return text of a message, whose content is a text or a list of parts
std::string text_of(const json& message)
{
    const json content = message.is_object() && message.contains("content")
                             ? message["content"]
                             : json();
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string text;
    if (content.is_array()) {
        for (const json& part : content) {
            text += value_or(part, "text", std::string());
        }
    }
    return text;
}

std::string prompt_of(const json& body, bool chat)
{
    if (!chat) {
        return value_or(body, "prompt", std::string());
    }
    std::string prompt;
    if (body.contains("messages") && body["messages"].is_array()) {
        for (const json& message : body["messages"]) {
            prompt += (prompt.empty() ? "" : " ") + text_of(message);
        }
    }
    return prompt;
}

std::vector<std::string> words_of(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(word);
    }
    return words;
}

} // namespace

generation::generation(net::exchange_ptr e, const json& body)
    : exchange_(std::move(e)), model_(value_or(body, "model", std::string())),
      chat_(exchange_->request().path == chat_path)
{
    prompt_ = prompt_of(body, chat_);
    words_ = words_of(prompt_);
    const auto asked = value_or(body, "max_tokens", default_tokens);
    wanted_ = std::clamp(value_or(body, "max_completion_tokens", asked),
                         std::size_t{1}, most_tokens);
    stream_ = value_or(body, "stream", false);
    priority_ = value_or(body, "priority", 0);
}

std::string generation::request_id() const
{
    return std::string(exchange_->request().header("x-request-id"));
}

std::string generation::token(std::size_t index) const
{
    if (index == 0 || words_.empty()) {
        return index == 0 ? '[' + model_ + ']' : " token";
    }
    return ' ' + words_[(index - 1) % words_.size()];
}

json generation::chunk(const std::string& text, bool last) const
{
    json choice = {{"index", 0},
                   {"finish_reason", last ? json("length") : json()}};
    if (chat_) {
        choice["delta"] = last ? json::object() : json{{"content", text}};
        if (made_ == 1 && !last) {
            choice["delta"]["role"] = "assistant";
        }
    } else {
        choice["text"] = text;
    }
    return {{"id", "cmpl-" + request_id()},
            {"object", chat_ ? "chat.completion.chunk" : "text_completion"},
            {"created", 0},
            {"model", model_},
            {"choices", json::array({choice})}};
}

json generation::whole() const
{
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (chat_) {
        choice["message"] = {{"role", "assistant"}, {"content", text_}};
    } else {
        choice["text"] = text_;
    }
    return {{"id", "cmpl-" + request_id()},
            {"object", chat_ ? "chat.completion" : "text_completion"},
            {"created", 0},
            {"model", model_},
            {"choices", json::array({choice})},
            {"usage",
             {{"prompt_tokens", words_.size()},
              {"completion_tokens", made_},
              {"total_tokens", words_.size() + made_}}}};
}

void generation::send(const json& event)
{
    exchange_->write(
        "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) +
        "\n\n");
}

void generation::next_token(const net::header_list& headers)
{
    const std::string text = token(made_++);
    text_ += text;
    if (!stream_) {
        return;
    }
    if (!exchange_->is_started()) {
        net::header_list all = headers;
        all.push_back({"Content-Type", "text/event-stream"});
        exchange_->start(http::ok, all);
    }
    send(chunk(text, false));
}

void generation::finish(const net::header_list& headers)
{
    if (!stream_) {
        respond(*exchange_, http::ok, whole(), headers);
        return;
    }
    send(chunk("", true));
    exchange_->write("data: [DONE]\n\n");
    exchange_->finish();
}

} // namespace lovagegate::standins
