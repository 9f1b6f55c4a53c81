#include "soak/caller.hpp"

#include "standins/site/dialect.hpp"

namespace lovagegate::soak {

namespace {

constexpr std::size_t longest_head = std::size_t{16} * 1024;
constexpr duration silence_limit = 60s;
/// What callers say that they wait, and what they wait.
constexpr duration time_left = 4s;
constexpr duration patience = 5s;
constexpr duration reconnect_pause = 50ms;
constexpr duration pause_after_loss = 300ms;
constexpr duration longest_idle = 1500ms;
constexpr duration longest_stay = 300ms;

} // namespace

caller::caller(net::event_loop& loop, judge& j, std::string name,
               std::uint64_t seed, caller_habits habits)
    : loop_(loop), judge_(j), name_(std::move(name)), random_(seed),
      habits_(std::move(habits)),
      reader_(net::message_reader::kind::responses, longest_head)
{
    pause();
}

caller::~caller()
{
    *alive_ = false;
}

std::uint64_t caller::draw(std::uint64_t below)
{
    return random_() % below;
}

void caller::later(duration delay, void (caller::*what)())
{
    loop_.call_later(delay, [this, what, alive = alive_] {
        if (*alive)
            (this->*what)();
    });
}

void caller::stop()
{
    stopped_ = true;
}

void caller::leave()
{
    if (!waiting_)
        drop_connection();
}

void caller::pause()
{
    const bool is_long =
        habits_.long_pause_one_in > 0 && draw(habits_.long_pause_one_in) == 0;
    const duration most = is_long ? longest_idle : habits_.longest_pause;
    later(std::chrono::milliseconds(
              draw(static_cast<std::uint64_t>(most / 1ms) + 1)),
          &caller::begin);
}

void caller::begin()
{
    if (stopped_)
        return;
    if (stream_) {
        send();
        return;
    }
    way_ = habits_.choose(random_);
    net::stream_handler& self = *this;
    stream_ =
        std::make_shared<net::tcp_stream>(loop_, way_.at, silence_limit, self);
}

void caller::send()
{
    connected_ = true;
    work_ = habits_.ask(random_, name_ + "-" + std::to_string(++requests_));
    reader_.start();
    body_.clear();
    waiting_ = true;
    sent_ = net::event_loop::now().mono;
    judge_.on_sent(work_, way_.instance, sent_, time_left, kept_);
    kept_ = true;
    stream_->write(standins::call_text(
        {method_of(work_.kind), path_of(work_), work_.id, request_body(work_),
         static_cast<int>(time_left / 1ms), adapter_of(work_)}));
    const bool leaves =
        habits_.leaves_one_in > 0 && draw(habits_.leaves_one_in) == 0;
    limit_time(leaves ? std::chrono::milliseconds(draw(
                            static_cast<std::uint64_t>(longest_stay / 1ms)))
                      : patience);
}

void caller::limit_time(duration limit)
{
    loop_.call_later(limit, [this, alive = alive_, request = requests_] {
        if (*alive && waiting_ && request == requests_)
            give_up(unanswered::out_of_time);
    });
}

answer_facts caller::facts() const
{
    if (!reader_.head_complete())
        return {};
    const auto& head = reader_.head();
    return {head.status, standins::is_signed(head), false,
            standins::attempt_id(head), body_};
}

bool caller::on_data(std::string_view data)
{
    if (!waiting_) {
        judge_.on_unasked_bytes(way_.instance, data,
                                net::event_loop::now().mono);
        drop_connection();
        return false;
    }
    const auto progress = reader_.read(
        data, [](net::message_head&) {},
        [this](std::string_view part) { body_ += part; });
    if (progress.failure != net::parse_failure::none) {
        judge_.on_unasked_bytes(way_.instance, data,
                                net::event_loop::now().mono);
        give_up(unanswered::connection_ended);
        return false;
    }
    if (!progress.complete)
        return true;
    if (progress.used < data.size())
        judge_.on_unasked_bytes(way_.instance, data.substr(progress.used),
                                net::event_loop::now().mono);
    finish();
    return stream_ != nullptr;
}

void caller::finish()
{
    waiting_ = false;
    answer_facts f = facts();
    f.complete = true;
    judge_.on_answer(work_.id, f, net::event_loop::now().mono);
    if (habits_.on_answer)
        habits_.on_answer(way_, work_, f, sent_);
    if (!reader_.head().keep_alive)
        drop_connection();
    pause();
}

void caller::give_up(unanswered why)
{
    waiting_ = false;
    judge_.on_unanswered(work_.id, facts(), why, net::event_loop::now().mono);
    drop_connection();
    // The instance may be gone for a while.
    later(why == unanswered::connection_ended ? pause_after_loss
                                              : reconnect_pause,
          &caller::begin);
}

void caller::on_end(net::stream_end how)
{
    if (how == net::stream_end::connect_failed && !connected_) {
        drop_connection();
        later(reconnect_pause, &caller::begin);
    } else if (!waiting_) {
        drop_connection();
    } else if (how == net::stream_end::end_of_data && reader_.end_of_data()) {
        finish();
        drop_connection();
    } else {
        give_up(unanswered::connection_ended);
    }
}

void caller::drop_connection()
{
    connected_ = false;
    kept_ = false;
    if (!stream_)
        return;
    // What still comes on it belongs to no request.
    stream_->give_up();
    loop_.call_later(duration::zero(), [old = std::move(stream_)] {});
    stream_.reset();
}

} // namespace lovagegate::soak
