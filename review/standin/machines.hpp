#ifndef LOVAGEGATE_REVIEW_STANDIN_MACHINES_HPP
#define LOVAGEGATE_REVIEW_STANDIN_MACHINES_HPP

#include "record.hpp"
#include "store.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lovagegate::review {

/// A temporary folder that is deleted at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder() { remove(); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] const std::string& path() const noexcept { return path_; }
    void remove();

private:
    std::string path_;
};

/// Machines that run the gateway with the command of the deploy file, each at a
/// loopback address of its own.
class machines
{
public:
    machines(record& log, store& platform, std::string network,
             std::size_t count);
    ~machines();
    machines(const machines&) = delete;
    machines& operator=(const machines&) = delete;

    /// @param on whether the settings say that engines check fences
    void set_fencing(bool on) { fencing_ = on; }
    /// Starts the process of a machine.
    /// @param first_start the whole system starts for the first time
    void start(std::size_t machine, const std::vector<std::size_t>& seeds,
               bool first_start);
    /// Writes the settings of a machine anew.
    void write_settings(std::size_t machine,
                        const std::vector<std::size_t>& seeds,
                        bool first_start);
    /// Gives each process a quarter of a core from now on: it is stopped for
    /// the rest of a tenth of a second in which it has used that up.
    void limit_cpu();
    /// Kills the process of a machine.
    void kill(std::size_t machine);
    /// Kills all processes and deletes their files.
    void kill_all();

    [[nodiscard]] bool is_ready(std::size_t machine) const;
    /// @return whether they were ready within the time
    [[nodiscard]] bool wait_ready(const std::vector<std::size_t>& list,
                                  milliseconds limit) const;
    [[nodiscard]] std::string ip(std::size_t machine) const;
    [[nodiscard]] std::uint16_t port() const noexcept { return callers_; }
    [[nodiscard]] static std::string name(std::size_t machine);
    /// @return whether a started process has ended by itself
    [[nodiscard]] bool has_one_ended() const;
    [[nodiscard]] std::int64_t started_at(std::size_t machine) const
    {
        return started_at_.at(machine);
    }

private:
    [[nodiscard]] std::string settings_file(std::size_t machine) const;

    record& log_;
    store& store_;
    std::string network_;
    bool fencing_ = true;
    temporary_folder folder_;
    std::uint16_t callers_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t control_ = 0;
    std::shared_ptr<std::atomic<bool>> limited_ =
        std::make_shared<std::atomic<bool>>(true);
    std::vector<pid_t> processes_;
    std::vector<std::int64_t> started_at_;
};

/// Callers that send requests for adapters, one after the other, each to a
/// machine of a list in turn and on a channel of its own.
class callers
{
public:
    /// @param next_adapter names the adapter of the n-th request
    callers(record& log, const machines& fleet, std::vector<std::size_t> list,
            std::function<std::string(std::size_t)> next_adapter,
            std::string name, milliseconds interval);

    /// Sends no further requests.
    void stop() { *stopped_ = true; }

private:
    std::shared_ptr<std::atomic<bool>> stopped_;
};

/// @return 127.A.B, different for each process
std::string own_network();

/// @return configuration with one streaming route to the engines
nlohmann::json model_config(std::uint64_t version, const std::string& service);

/// @return whether the condition became true within the time
bool wait_until(const std::function<bool()>& condition, milliseconds limit);

} // namespace lovagegate::review

#endif
