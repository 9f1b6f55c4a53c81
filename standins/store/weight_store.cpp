#include "standins/store/weight_store.hpp"

#include "standins/common/json_answer.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::standins {

namespace {

constexpr std::string_view weights_prefix = "/weights/";
constexpr duration count_window = 10s;

} // namespace

weight_store::weight_store(const weight_store_options& options)
    : options_(options), tokens_(options_.at_full_speed),
      refilled_(net::event_loop::now().mono),
      server_(loop_, server_settings(options_.process),
              [this](const net::exchange_ptr& e) { on_request(e); })
{
}

void weight_store::run()
{
    serve("store", loop_, server_, options_.process);
}

void weight_store::on_request(const net::exchange_ptr& e)
{
    const std::string& path = e->request().path;
    if (path == "/admin/counts") {
        respond(*e, http::ok,
                {{"loads", loads_},
                 {"over_rate", waited_},
                 {"most_in_10_s", most_in_10_s_},
                 {"most_in_transit", most_in_transit_}});
    } else if (path == "/admin/fail") {
        fail_next_ = value_or(body_of(*e), "next", fail_next_);
        respond(*e, http::ok, nlohmann::json::object());
    } else if (path.rfind(weights_prefix, 0) != 0) {
        respond(*e, http::not_found, {{"error", "no such weights"}});
    } else if (fail_next_ > 0) {
        --fail_next_;
        respond(*e, http::unavailable, {{"error", "load failed"}});
    } else {
        count_start(net::event_loop::now().mono);
        waiting_.push_back(e);
        start_waiting();
        waited_ += waiting_.empty() ? 0 : 1;
    }
}

void weight_store::count_start(time_point now)
{
    recent_.push_back(now);
    while (recent_.front() + count_window < now) {
        recent_.pop_front();
    }
    most_in_10_s_ = std::max(most_in_10_s_, recent_.size());
}

void weight_store::start_waiting()
{
    const time_point now = net::event_loop::now().mono;
    tokens_ = std::min(options_.at_full_speed,
                       tokens_ + to_seconds(now - refilled_) *
                                     options_.loads_per_second);
    refilled_ = now;
    while (!waiting_.empty() && tokens_ >= 1) {
        tokens_ -= 1;
        start(waiting_.front());
        waiting_.pop_front();
    }
    if (!waiting_.empty() && !timer_set_) {
        timer_set_ = true;
        loop_.call_later(10ms, [this] {
            timer_set_ = false;
            start_waiting();
        });
    }
}

void weight_store::start(const net::exchange_ptr& e)
{
    ++loads_;
    ++in_transit_;
    most_in_transit_ = std::max(most_in_transit_, in_transit_);
    const std::size_t slowdown = std::max(in_transit_, options_.in_transit);
    const auto took = options_.load_time *
                      static_cast<duration::rep>(slowdown) /
                      static_cast<duration::rep>(options_.in_transit);
    loop_.call_later(took, [this, e] {
        --in_transit_;
        e->respond(http::ok, {{"Content-Type", "application/octet-stream"}},
                   "weights");
    });
}

} // namespace lovagegate::standins
