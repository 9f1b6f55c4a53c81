#ifndef LOVAGEGATE_SOAK_CHILD_PROCESS_HPP
#define LOVAGEGATE_SOAK_CHILD_PROCESS_HPP

#include "lovagegate/core/error.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lovagegate::soak {

/// A process could not be started.
class start_error : public error
{
public:
    using error::error;
};

/// How much a process holds.
struct process_size
{
    std::size_t resident_kb = 0;
    std::size_t descriptors = 0;
};

/// How a process ended.
struct process_end
{
    bool by_signal = false;
    int code = 0; ///< exit status or signal
};

/// One process, which ends with its owner at the latest: its destruction
/// kills it, and the kernel does if the owner dies.
class child_process
{
public:
    /// @param command program and arguments
    /// @param log file that takes standard output and error, appended
    /// @throws start_error if it cannot be started
    child_process(const std::vector<std::string>& command,
                  const std::string& log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; does nothing once the process was seen to have ended.
    void send(int signal) noexcept;

    /// @return how it ended, nothing while it runs
    [[nodiscard]] std::optional<process_end> poll();

    [[nodiscard]] pid_t id() const noexcept { return id_; }

    /// @return its size, nothing if it has just ended
    [[nodiscard]] std::optional<process_size> size() const;

private:
    pid_t id_ = -1;
    std::optional<process_end> end_;
};

} // namespace lovagegate::soak

#endif
