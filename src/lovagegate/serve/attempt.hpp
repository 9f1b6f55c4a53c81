#ifndef LOVAGEGATE_SERVE_ATTEMPT_HPP
#define LOVAGEGATE_SERVE_ATTEMPT_HPP

#include "lovagegate/net/http_client.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/openai/event_parser.hpp"
#include "lovagegate/serve/open_request.hpp"
#include "lovagegate/settings/settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lovagegate::serve {

/// Callbacks that report the progress of an attempt.
struct attempt_observer
{
    /// Called before the first part of the answer is forwarded to the caller.
    std::function<void()> on_answer_started;
    std::function<void(node::attempt_ended)> on_ended;
    /// Called with the time between two events of a stream.
    std::function<void(duration)> on_event_gap;
};

/// Sends a request to one target once, checks the answer and forwards it to
/// the caller. Pauses reading from the target while the caller reads slowly.
class attempt : public std::enable_shared_from_this<attempt>
{
public:
    attempt(net::event_loop& loop, const settings::limit_settings& limits,
            node::start_attempt order, std::shared_ptr<open_request> caller,
            attempt_observer observer);
    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    void start(net::http_client& client);

    /// Closes the connection to the target without calling the observer.
    void cancel();

    [[nodiscard]] std::uint32_t number() const noexcept
    {
        return order_.attempt;
    }

private:
    [[nodiscard]] net::client_request make_request() const;
    [[nodiscard]] net::call_events make_events();
    void on_connected();
    void on_response(const net::response_head& head);
    void on_data(std::string_view data);
    void on_event(const openai::stream_event& event);
    void on_complete();
    void on_failed(net::call_failure failure);
    void forward_event(const openai::stream_event& event);
    void forward_answer();
    [[nodiscard]] node::attempt_end classify_answer() const;
    [[nodiscard]] net::header_list answer_headers() const;
    void start_forwarding();
    void end(node::attempt_end how);
    void stop();

    net::event_loop& loop_;
    const settings::limit_settings& limits_;
    node::start_attempt order_;
    std::shared_ptr<open_request> caller_;
    attempt_observer observer_;
    net::http_call_ptr call_;
    net::timer_id deadline_timer_ = 0;
    net::response_head head_;
    std::string model_;
    std::string body_;
    openai::event_parser parser_;
    time_point start_time_{};
    time_point last_event_time_{};
    duration time_to_first_token_{};
    bool streaming_ = false;
    bool forwarding_ = false; ///< part of the answer has been forwarded
    bool end_marker_received_ =
        false; ///< the stream's end-of-stream event has arrived
    bool ended_ = false;
};

} // namespace lovagegate::serve

#endif
