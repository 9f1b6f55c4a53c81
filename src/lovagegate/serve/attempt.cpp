#include "lovagegate/serve/attempt.hpp"

#include "lovagegate/openai/answer_check.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::serve {

namespace {

using node::attempt_end;

/// Largest unstreamed answer; it is buffered whole and checked before it is
/// forwarded.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
/// Largest server-sent event of a streamed answer.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// Largest answer that is stored for a caller that repeats the request.
constexpr std::size_t max_stored_answer_bytes = std::size_t{16} * 1024;
constexpr duration connect_timeout = 2s;

constexpr int http_ok = 200;
constexpr int http_redirection = 300;
constexpr int http_not_found = 404;
constexpr int http_server_error = 500;

constexpr std::string_view json_type = "application/json";

bool is_success(int status)
{
    return status >= http_ok && status < http_redirection;
}

} // namespace

attempt::attempt(net::event_loop& loop, const settings::limit_settings& limits,
                 node::start_attempt order,
                 std::shared_ptr<open_request> caller,
                 attempt_observer observer)
    : loop_(loop), limits_(limits), order_(std::move(order)),
      caller_(std::move(caller)), observer_(std::move(observer)),
      model_(to_string(order_.adapter)), parser_(max_event_bytes)
{
}

attempt::~attempt()
{
    loop_.cancel(deadline_timer_);
    if (call_)
        call_->cancel();
}

void attempt::start(net::http_client& client)
{
    start_time_ = net::event_loop::now().mono;
    deadline_timer_ =
        loop_.call_later(order_.time_left, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->forwarding_)
                self->end(self->call_->may_have_been_sent()
                              ? attempt_end::timed_out
                              : attempt_end::connect_failed);
        });
    call_ = client.send(make_request(), make_events());
}

net::client_request attempt::make_request() const
{
    const checked_request& from = caller_->request;
    net::client_request request;
    request.address = order_.address;
    request.port = order_.port;
    request.headers = {
        {"x-request-id", caller_->x_request_id},
        {"x-priority", std::string(to_string(caller_->importance))}};
    if (from.completion) {
        request.method = "POST";
        request.path = openai::endpoint_path(from.completion->kind());
        request.headers.push_back({"content-type", std::string(json_type)});
        request.body = from.completion->body_for(model_);
    } else {
        request.method = from.core_request.method;
        request.path = from.target_path;
        if (!from.content_type.empty())
            request.headers.push_back({"content-type", from.content_type});
        request.body = from.body;
    }
    request.connect_timeout = std::min(connect_timeout, order_.time_left);
    request.response_timeout = order_.time_left;
    request.body_timeout = limits_.target_timeout;
    return request;
}

net::call_events attempt::make_events()
{
    const auto weak = weak_from_this();
    const auto with = [weak](auto member) {
        return [weak, member](const auto&... arguments) {
            const auto self = weak.lock();
            if (self && !self->ended_)
                ((*self).*member)(arguments...);
        };
    };
    return {.on_connected = with(&attempt::on_connected),
            .on_response = with(&attempt::on_response),
            .on_data = with(&attempt::on_data),
            .on_complete = with(&attempt::on_complete),
            .on_failed = with(&attempt::on_failed)};
}

void attempt::on_connected()
{
    // Sends nothing after the lease's send window, whatever the delay's cause.
    if (net::event_loop::now().mono > order_.not_after)
        end(attempt_end::connect_failed);
}

void attempt::on_response(const net::response_head& head)
{
    head_ = head;
    const auto echoed = head.header("x-request-id");
    if (!echoed.empty() && echoed != caller_->x_request_id) {
        end(attempt_end::mismatched);
        return;
    }
    streaming_ = caller_->request.completion && is_success(head.status) &&
                 head.header("content-type").starts_with("text/event-stream");
}

void attempt::on_data(std::string_view data)
{
    if (!streaming_) {
        if (body_.size() + data.size() > max_answer_bytes)
            end(attempt_end::error_answer);
        else
            body_.append(data);
        return;
    }
    try {
        parser_.feed(data, [this](const openai::stream_event& e) {
            if (!ended_)
                on_event(e);
        });
    } catch (const openai::event_too_large&) {
        end(attempt_end::mismatched);
    }
}

void attempt::on_event(const openai::stream_event& event)
{
    if (event.data == openai::end_of_stream) {
        end_marker_received_ = true;
    } else if (!event.data.empty()) {
        const auto verdict = openai::check_answer(event.data, model_);
        if (verdict == openai::answer_verdict::other_model ||
            verdict == openai::answer_verdict::malformed) {
            end(attempt_end::mismatched);
            return;
        }
    }
    forward_event(event);
}

void attempt::start_forwarding()
{
    forwarding_ = true;
    loop_.cancel(deadline_timer_);
    time_to_first_token_ = net::event_loop::now().mono - start_time_;
    observer_.on_answer_started();
}

void attempt::forward_event(const openai::stream_event& event)
{
    const auto now = net::event_loop::now().mono;
    net::exchange& exchange = *caller_->exchange;
    if (!forwarding_) {
        start_forwarding();
        exchange.start(head_.status, answer_headers());
        exchange.on_drained([weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && self->call_)
                self->call_->resume();
        });
    } else {
        observer_.on_event_gap(now - last_event_time_);
    }
    last_event_time_ = now;
    exchange.write(event.raw);
    if (exchange.buffered() > limits_.stream_buffer)
        call_->pause();
}

void attempt::on_complete()
{
    if (!streaming_) {
        const attempt_end how = classify_answer();
        if (how == attempt_end::completed)
            forward_answer();
        end(how);
        return;
    }
    if (!end_marker_received_ || !parser_.at_boundary()) {
        end(attempt_end::broken);
        return;
    }
    caller_->exchange->finish();
    end(attempt_end::completed);
}

attempt_end attempt::classify_answer() const
{
    if (head_.header("x-not-run") == "true")
        return attempt_end::not_run;
    if (head_.status >= http_server_error)
        return attempt_end::error_answer;
    if (!caller_->request.completion)
        return attempt_end::completed;
    if (head_.status == http_not_found &&
        openai::is_model_not_found_error(body_))
        return attempt_end::adapter_missing;
    if (!is_success(head_.status))
        return attempt_end::completed;
    return openai::check_answer(body_, model_) ==
                   openai::answer_verdict::matches
               ? attempt_end::completed
               : attempt_end::mismatched;
}

net::header_list attempt::answer_headers() const
{
    net::header_list headers{{"x-request-id", caller_->x_request_id}};
    for (const auto* name : {"content-type", "retry-after", "location"})
        if (const auto value = head_.header(name); !value.empty())
            headers.push_back({name, std::string(value)});
    return headers;
}

void attempt::forward_answer()
{
    start_forwarding();
    auto headers = answer_headers();
    headers.push_back({"x-lovagegate-outcome", "completed"});
    caller_->exchange->respond(head_.status, headers, body_);
}

void attempt::on_failed(net::call_failure failure)
{
    if (net::nothing_sent(failure))
        end(attempt_end::connect_failed);
    else if (failure == net::call_failure::response_timeout ||
             failure == net::call_failure::body_timeout)
        end(attempt_end::timed_out);
    else if (failure == net::call_failure::not_a_response)
        end(attempt_end::mismatched);
    else
        end(attempt_end::broken);
}

void attempt::stop()
{
    ended_ = true;
    loop_.cancel(deadline_timer_);
    if (call_)
        call_->cancel();
}

void attempt::cancel()
{
    if (!ended_)
        stop();
}

void attempt::end(attempt_end how)
{
    if (ended_)
        return;
    stop();
    node::attempt_ended ended{
        order_.id, order_.attempt, how, time_to_first_token_, {}};
    if (order_.keep_answer && how == attempt_end::completed &&
        body_.size() <= max_stored_answer_bytes)
        ended.answer = protocol::stored_answer{
            head_.status, std::string(head_.header("content-type")), body_};
    observer_.on_ended(std::move(ended));
}

} // namespace lovagegate::serve
