#include "lovagegate/serve/drain.hpp"

#include "lovagegate/logging/log.hpp"

namespace lovagegate::serve {

namespace {

/// Interval between checks for a shutdown request and for its progress.
constexpr duration check_interval = 20ms;

} // namespace

drain::drain(net::event_loop& loop, core_runner& core,
             const caller_frontend& frontend, duration deadline)
    : loop_(loop), core_(core), frontend_(frontend), deadline_(deadline)
{
    timer_ = loop_.call_later(check_interval, [this] { check(); });
}

drain::~drain()
{
    loop_.cancel(timer_);
}

void drain::request() noexcept
{
    ++requests_;
    loop_.wake();
}

void drain::on_drained()
{
    drained_ = true;
}

void drain::check()
{
    timer_ = loop_.call_later(check_interval, [this] { check(); });
    const int requests = requests_;
    if (requests == 0)
        return;
    const auto now = net::event_loop::now().mono;
    if (!started_) {
        started_ = true;
        started_at_ = now;
        core_.submit(node::stop_requested{});
    }
    // Answers may still be being written after their requests have ended.
    if (drained_ && frontend_.server().pending_answers() == 0) {
        logging::write(logging::level::info, "stopped");
        loop_.stop();
    } else if (requests > 1) {
        stop_early("second_signal");
    } else if (now - started_at_ > deadline_) {
        stop_early("deadline");
    }
}

void drain::stop_early(const char* reason)
{
    requests_cut_off_ = frontend_.server().pending_answers();
    logging::write(logging::level::warning, "stopped_early",
                   {{"reason", reason},
                    {"requests_cut_off", std::uint64_t{requests_cut_off_}}});
    loop_.stop();
}

} // namespace lovagegate::serve
