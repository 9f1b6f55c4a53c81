#ifndef LOVAGEGATE_REVIEW_STANDIN_2_MACHINES_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_MACHINES_HPP

#include "http.hpp"

#include <fstream>
#include <sys/types.h>

namespace review {

/// What a script writes down; one line for each fact, in milliseconds since
/// the script's start.
class record
{
public:
    explicit record(const std::string& file);
    void add(const std::string& line);
    /// @return time since the script's start
    [[nodiscard]] std::int64_t since_start(std::int64_t at) const
    {
        return at - start_;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::int64_t start_;
};

/// Settings that differ between the platform's sites.
struct site_settings
{
    std::vector<std::string> zones;
    std::vector<std::size_t> machines_in_zone;
    std::int64_t stable_window_ms = 3000;
    std::int64_t drain_ms = 2000;
    std::int64_t config_apply_ms = 2000;
};

/// What a caller got.
struct caller_answer
{
    std::string attempt;
    std::size_t machine = 0;
    int status = 0; ///< 0: no whole answer
    std::string body;
    std::int64_t sent = 0;
    std::int64_t ended = 0;
};

/// The system's machines: processes started with the deploy file's command.
class machines
{
public:
    /// @param directory temporary folder for settings and logs
    machines(site_settings site, std::string directory, record& out);
    ~machines();
    machines(const machines&) = delete;
    machines& operator=(const machines&) = delete;

    [[nodiscard]] std::size_t count() const { return addresses_.size(); }
    [[nodiscard]] const std::string& zone(std::size_t machine) const
    {
        return zones_.at(machine);
    }
    /// @return the address at which a machine reaches the store
    [[nodiscard]] std::vector<endpoint> store_addresses() const;
    /// @return a loopback address for an engine
    [[nodiscard]] std::string engine_address(std::size_t number) const;

    void start(std::size_t machine, bool first_start);
    /// Ends a process as a loss of power does.
    void kill(std::size_t machine);
    /// Ends a process by SIGTERM and waits for its end.
    void terminate(std::size_t machine);

    /// @return whether every machine says that it is ready within the time
    bool wait_until_ready(std::int64_t timeout_ms) const;
    [[nodiscard]] bool is_ready(std::size_t machine) const;

    /// Sends a request on a new connection and waits for its answer.
    /// @param headers further ones, each with its end of line
    caller_answer ask(std::size_t machine, const std::string& method,
                      const std::string& path, std::int64_t deadline_ms,
                      const std::string& headers = {}) const;

private:
    void write_settings(std::size_t machine, bool first_start) const;
    [[nodiscard]] std::string settings_file(std::size_t machine) const;

    site_settings site_;
    std::string directory_;
    record& record_;
    std::string network_;
    std::vector<std::string> addresses_;
    std::vector<std::string> zones_;
    std::vector<pid_t> processes_;
    int caller_port_ = 0;
    int ready_port_ = 0;
    int control_port_ = 0;
    int peer_port_ = 0;
    int store_port_ = 0;
    mutable std::atomic<std::uint64_t> next_attempt_ = 1;
};

/// @return whether the script plays its disruption
bool has_trouble();

/// @return a new folder for temporary files
std::string make_directory();

} // namespace review

#endif
