#ifndef LOVAGEGATE_SOAK_CALLER_HPP
#define LOVAGEGATE_SOAK_CALLER_HPP

#include "lovagegate/net/http_message.hpp"
#include "lovagegate/net/tcp_stream.hpp"
#include "soak/judge.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lovagegate::soak {

/// Where a caller connects.
struct way_in
{
    std::string instance;
    settings::endpoint at;
};

/// How a caller behaves.
struct caller_habits
{
    std::function<way_in(std::mt19937_64&)> choose;
    std::function<work(std::mt19937_64&, const std::string& id)> ask;
    /// Between two requests, drawn up to this.
    duration longest_pause{};
    /// One in so many pauses is long: the connection is idle.
    std::uint64_t long_pause_one_in = 0;
    /// One in so many requests is left before its answer; 0 for none.
    std::uint64_t leaves_one_in = 0;
    /// Gets each answer; may be empty.
    std::function<void(const way_in&, const work&, const answer_facts&,
                       time_point sent)>
        on_answer;
};

/// One caller: one request after the other, on one connection until that ends.
class caller final : private net::stream_handler
{
public:
    /// @param name unique; begins the ids of its requests
    caller(net::event_loop& loop, judge& j, std::string name,
           std::uint64_t seed, caller_habits habits);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Begins no more requests.
    void stop();

    /// Closes an idle connection.
    void leave();

private:
    bool on_data(std::string_view data) override;
    void on_end(net::stream_end how) override;
    void on_connected() override { send(); }

    void pause();
    void begin();
    void send();
    void limit_time(duration limit);
    void finish();
    void give_up(unanswered why);
    void drop_connection();
    void later(duration delay, void (caller::*what)());
    [[nodiscard]] answer_facts facts() const;
    [[nodiscard]] std::uint64_t draw(std::uint64_t below);

    net::event_loop& loop_;
    judge& judge_;
    std::string name_;
    std::mt19937_64 random_;
    caller_habits habits_;
    way_in way_;
    std::shared_ptr<net::tcp_stream> stream_;
    net::message_reader reader_;
    std::string body_;
    work work_;
    time_point sent_{};
    bool waiting_ = false; ///< a request has no whole answer yet
    bool connected_ = false;
    bool kept_ = false; ///< the connection has served a request
    bool stopped_ = false;
    std::uint64_t requests_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lovagegate::soak

#endif
