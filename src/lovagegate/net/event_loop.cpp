#include "lovagegate/net/event_loop.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/timer_queue.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lovagegate::net {

namespace {

/// Long enough to never expire: the timeouts of libwebsockets would abort long
/// responses and blocking queries. The classes of net set their own timers.
constexpr unsigned library_timeout_s = 7 * 24 * 3600;
/// Limit of message heads in use at the same time; libwebsockets allocates them
/// on demand.
constexpr unsigned max_concurrent_heads = 20000;

lws_context* make_context(const loop_settings& settings)
{
    // libwebsockets would send requests to targets through a proxy set in the
    // environment.
    ::unsetenv("http_proxy");
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.options =
        LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.max_http_header_data2 = settings.max_header_bytes;
    info.max_http_header_pool2 = max_concurrent_heads;
    info.pt_serv_buf_size = settings.read_buffer_bytes;
    info.timeout_secs = library_timeout_s;
    info.connect_timeout_secs = library_timeout_s;
    info.timeout_secs_ah_idle = library_timeout_s;
    return lws_create_context(&info);
}

} // namespace

event_loop::event_loop(const loop_settings& settings)
    : context_(make_context(settings))
{
    if (!context_)
        throw context_error("libwebsockets context could not be created");
    timers_ = std::make_unique<internal::timer_queue>(context_);
}

event_loop::~event_loop()
{
    lws_context_destroy(context_);
    // The destructors of objects owned by tasks may cancel timers, so tasks are
    // destroyed before the timers.
    std::vector<task>().swap(posted_);
    timers_->clear();
}

void event_loop::run()
{
    while (!stopped_)
        run_once();
    stopped_ = false;
}

void event_loop::run_once()
{
    if (lws_service(context_, 0) < 0)
        throw context_error("libwebsockets event loop failed");
    run_posted();
}

void event_loop::stop() noexcept
{
    stopped_ = true;
    wake();
}

void event_loop::wake() noexcept
{
    lws_cancel_service(context_);
}

void event_loop::post(task fn)
{
    {
        const std::lock_guard lock(posted_mutex_);
        posted_.push_back(std::move(fn));
    }
    wake();
}

void event_loop::run_posted()
{
    std::vector<task> tasks;
    {
        const std::lock_guard lock(posted_mutex_);
        tasks.swap(posted_);
    }
    for (auto& fn : tasks)
        fn();
}

timer_id event_loop::call_later(duration delay, task fn)
{
    return timers_->add(delay, std::move(fn));
}

void event_loop::cancel(timer_id id) noexcept
{
    timers_->cancel(id);
}

instant event_loop::now() noexcept
{
    using std::chrono::duration_cast;
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {time_point(duration_cast<duration>(steady)),
            wall_time(duration_cast<std::chrono::milliseconds>(wall))};
}

void event_loop::retain(std::shared_ptr<void> value)
{
    retained_.push_back(std::move(value));
}

} // namespace lovagegate::net
