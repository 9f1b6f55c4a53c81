#include "bench/load_source.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::bench {

namespace {

constexpr int http_ok = 200;

} // namespace

struct load_source::stream
{
    time_point sent;
    time_point last_token{};
    int status = 0;
    std::string partial_event; ///< received part of an incomplete event
    std::size_t tokens = 0;
    bool done = false;
};

load_source::load_source(net::event_loop& loop, load_options options,
                         std::function<void()> on_end)
    : loop_(loop), client_(loop), options_(std::move(options)),
      on_end_(std::move(on_end))
{
}

void load_source::start()
{
    const std::size_t first = std::min(options_.streams, options_.requests);
    for (std::size_t i = 0; i < first; ++i) {
        const auto delay = options_.ramp * static_cast<duration::rep>(i) /
                           static_cast<duration::rep>(first);
        ++open_streams_;
        ++sent_;
        loop_.call_later(delay, [this] { send(); });
    }
}

net::client_request load_source::request() const
{
    net::client_request r;
    r.address = options_.target.address;
    r.port = options_.target.port;
    r.method = "POST";
    r.path = "/v1/chat/completions";
    r.headers = {{"Content-Type", "application/json"},
                 {"X-Deadline-Ms", "60000"}};
    r.body =
        nlohmann::json{
            {"model", options_.model},
            {"stream", true},
            {"max_tokens", options_.tokens},
            {"messages", {{{"role", "user"}, {"content", "shift summary"}}}}}
            .dump();
    return r;
}

void load_source::send()
{
    const auto s = std::make_shared<stream>();
    s->sent = net::event_loop::now().mono;
    net::call_events events;
    events.on_response = [s](const net::response_head& head) {
        s->status = head.status;
    };
    events.on_data = [this, s](std::string_view data) {
        parse_events(*s, data);
    };
    events.on_complete = [this, s] {
        const bool complete = s->done && s->tokens == options_.tokens;
        end(*s, s->status != http_ok ? std::to_string(s->status)
                                     : (complete ? "" : "not_whole"));
    };
    events.on_failed = [this, s](net::call_failure f) {
        end(*s, std::string(net::to_string(f)));
    };
    client_.send(request(), std::move(events));
}

void load_source::parse_events(stream& s, std::string_view data)
{
    constexpr std::string_view separator = "\n\n";
    const time_point now = net::event_loop::now().mono;
    s.partial_event += data;
    std::string_view rest = s.partial_event;
    for (auto at = rest.find(separator); at != std::string_view::npos;
         at = rest.find(separator)) {
        on_event(s, rest.substr(0, at), now);
        rest.remove_prefix(at + separator.size());
    }
    s.partial_event = std::string(rest);
}

void load_source::on_event(stream& s, std::string_view event, time_point now)
{
    s.done = s.done || event == "data: [DONE]";
    if (event.find("\"content\":") == std::string_view::npos) {
        return;
    }
    if (s.tokens == 0) {
        result_.first_token.add(now - s.sent);
    } else {
        result_.token_gap.add(now - s.last_token);
    }
    s.last_token = now;
    ++s.tokens;
    ++result_.tokens;
}

void load_source::end(stream& /*s*/, const std::string& failure)
{
    if (failure.empty()) {
        ++result_.completed;
    } else {
        ++result_.failed;
        ++result_.failures[failure];
    }
    if (sent_ < options_.requests && !stopped_) {
        ++sent_;
        // Delays the next request after a failure, so that refused requests
        // don't cause a busy loop.
        constexpr duration failure_backoff = 50ms;
        loop_.call_later(failure.empty() ? duration(0) : failure_backoff,
                         [this] { send(); });
        return;
    }
    if (--open_streams_ == 0) {
        on_end_();
    }
}

} // namespace lovagegate::bench
