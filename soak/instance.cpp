#include "soak/instance.hpp"

#include <csignal>
#include <fstream>

namespace lovagegate::soak {

namespace {

/// Before the program has set its signal handlers a signal ends it; then it
/// has read no request.
constexpr duration handlers_set = 500ms;
/// A stop that was paused may end so much later.
constexpr duration after_pause = 1s;

time_point now()
{
    return net::event_loop::now().mono;
}

std::string text_of(const process_end& end)
{
    return (end.by_signal ? "ended by signal " : "exit status ") +
           std::to_string(end.code);
}

} // namespace

instance::instance(net::event_loop& loop, std::string program,
                   const std::string& folder,
                   standins::instance_description what, instance_events events)
    : program_(std::move(program)),
      settings_file_(folder + "/" + what.name + ".conf"),
      log_(folder + "/" + what.name + ".log"), what_(std::move(what)),
      events_(std::move(events)), callers_link_(loop, direct())
{
    what_.first_start = true;
}

settings::endpoint instance::direct() const
{
    return {what_.address, standins::instance_callers_port};
}

void instance::start()
{
    std::ofstream(settings_file_) << standins::settings_text(what_);
    what_.first_start = false;
    process_ = std::make_unique<child_process>(
        std::vector<std::string>{program_, "gateway",
                                 "--settings=" + settings_file_},
        log_);
    state_ = state::running;
    started_ = now();
    events_.on_started(name());
}

void instance::stop()
{
    if (state_ != state::running)
        return;
    state_ = state::stopping;
    kill_at_ = now() + stop_grace;
    start_at_ = {};
    stopped_early_ = now() - started_ < handlers_set;
    process_->send(SIGTERM);
    events_.on_stop(name());
}

void instance::kill(duration down)
{
    if (state_ == state::down)
        return;
    state_ = state::killed;
    start_at_ = now() + down;
    process_->send(SIGKILL);
}

void instance::pause(duration lasts)
{
    paused_until_ = std::max(paused_until_, now() + lasts);
    if (process_)
        process_->send(SIGSTOP);
}

void instance::resume()
{
    if (process_)
        process_->send(SIGCONT);
}

void instance::reload()
{
    if (state_ == state::running && now() - started_ >= handlers_set)
        process_->send(SIGHUP);
}

void instance::poll()
{
    if (process_) {
        if (const auto end = process_->poll())
            on_end(*end);
        else if (state_ == state::stopping && now() >= kill_at_) {
            if (now() > paused_until_ + after_pause)
                events_.on_wrong_end(name(), "still running", "an end in time");
            kill({});
        }
    }
    if (state_ == state::down && now() >= start_at_)
        start();
}

void instance::on_end(const process_end& end)
{
    const bool in_order =
        (!end.by_signal && end.code == 0) ||
        (stopped_early_ && end.by_signal && end.code == SIGTERM);
    if (state_ == state::running)
        events_.on_wrong_end(name(), text_of(end), "a process that runs on");
    else if (state_ == state::stopping && !in_order)
        events_.on_wrong_end(name(), text_of(end), "exit status 0");
    process_.reset();
    state_ = state::down;
}

std::optional<process_size> instance::size() const
{
    if (state_ != state::running)
        return std::nullopt;
    return process_->size();
}

} // namespace lovagegate::soak
