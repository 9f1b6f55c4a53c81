#ifndef LOVAGEGATE_SOAK_INSTANCE_HPP
#define LOVAGEGATE_SOAK_INSTANCE_HPP

#include "soak/child_process.hpp"
#include "soak/tcp_proxy.hpp"
#include "standins/site/dialect.hpp"

#include <functional>
#include <memory>
#include <string>

namespace lovagegate::soak {

/// Time that a stop may take until the process is killed.
inline constexpr duration stop_grace = 6s;

/// A process that was started serves after this time.
inline constexpr duration start_time = 1s;

/// What an instance tells the soak.
struct instance_events
{
    std::function<void(const std::string& name)> on_started;
    std::function<void(const std::string& name)> on_stop;
    /// A process ended otherwise than it was made to.
    std::function<void(const std::string& name, const std::string& seen,
                       const std::string& expected)>
        on_wrong_end;
};

/// One instance: a process that is started again whenever it was ended.
class instance
{
public:
    /// @param program the built server
    /// @param folder takes settings and log
    instance(net::event_loop& loop, std::string program,
             const std::string& folder, standins::instance_description what,
             instance_events events);

    [[nodiscard]] const std::string& name() const { return what_.name; }

    /// @return where callers reach it directly
    [[nodiscard]] settings::endpoint direct() const;

    /// @return between callers and the instance
    [[nodiscard]] tcp_proxy& callers_link() { return callers_link_; }

    void start();

    /// SIGTERM; starts again when it has ended.
    void stop();

    /// SIGKILL; starts again after a time.
    void kill(duration down);

    /// SIGSTOP.
    /// @param lasts until resume() will be called
    void pause(duration lasts);
    void resume();

    /// SIGHUP, unless it has just been started.
    void reload();

    /// Looks after the process. To be called often.
    void poll();

    /// @return size of the process if it runs and was not told to end
    [[nodiscard]] std::optional<process_size> size() const;

private:
    enum class state : std::uint8_t
    {
        running,
        stopping,
        killed,
        down,
    };

    void on_end(const process_end& end);

    std::string program_;
    std::string settings_file_;
    std::string log_;
    standins::instance_description what_;
    instance_events events_;
    tcp_proxy callers_link_;
    std::unique_ptr<child_process> process_;
    state state_ = state::down;
    time_point start_at_{};
    time_point started_{};
    bool stopped_early_ = false; ///< before its signal handlers were set
    time_point kill_at_{};       ///< of a stop
    time_point paused_until_{};
};

} // namespace lovagegate::soak

#endif
