#ifndef LOVAGEGATE_CALLERS_CALLER_ACCOUNT_HPP
#define LOVAGEGATE_CALLERS_CALLER_ACCOUNT_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>

namespace lovagegate::callers {

/// Bounds for the connections of callers and for what is held for them.
struct account_limits
{
    /// What all connections may hold.
    std::size_t total_bytes = 0;
    /// What connections may hold beyond `small_bytes` each, all together. The
    /// rest is left for ordinary requests, whatever large ones arrive.
    std::size_t large_bytes = 0;
    std::size_t small_bytes = std::size_t{64} * 1024;
    std::size_t connections = 0;
    std::size_t connections_of_address = 0;
};

/// @param process_bytes memory limit of the process
/// @param max_connections of all callers together
[[nodiscard]] account_limits limits_for_process(std::size_t process_bytes,
                                                std::size_t max_connections);

/// What a connection waits for.
enum class stage : std::uint8_t
{
    idle,       ///< the first byte of a request
    receiving,  ///< the rest of a request
    answering,  ///< the end of an answer
    delivering, ///< the caller, which is to read a complete answer
};

/// Why a connection is closed in favour of another one.
enum class eviction : std::uint8_t
{
    memory,      ///< what it holds is needed
    connections, ///< its place is needed
};

/// How often a limit of the account was met.
struct account_counts
{
    std::uint64_t closed_for_memory = 0;
    std::uint64_t closed_for_connections = 0;
    std::uint64_t refused_memory = 0;
    std::uint64_t refused_connections = 0;

    bool operator==(const account_counts&) const = default;
};

/// Limits the rate of log lines about the account.
class account_reporter
{
public:
    /// @return whether to log the counts now: they have changed since the last
    ///         line, and that was some time ago
    bool is_due(const account_counts& counts, time_point now);

private:
    account_counts reported_;
    time_point last_{};
};

/// Counts the connections of callers and all bytes that are held for them. When
/// it is full, it closes the connections that make the least of what they hold:
/// first those whose request or answer has hardly moved for some time, then
/// those that have been idle longest. A request that has begun to run keeps
/// what it holds. If no connection may be closed, the newest demand is refused.
class caller_account
{
public:
    explicit caller_account(const account_limits& limits);
    caller_account(const caller_account&) = delete;
    caller_account& operator=(const caller_account&) = delete;

    /// One connection. Must not outlive the account.
    class member
    {
    public:
        /// @param on_evict must release what the connection holds
        member(caller_account& account, std::string address, time_point now,
               std::function<void(eviction)> on_evict);
        ~member();
        member(const member&) = delete;
        member& operator=(const member&) = delete;

        void set_stage(stage s, time_point now);

        /// Counts bytes that were received or delivered in this stage.
        void on_progress(std::size_t bytes, time_point now);

        /// Sets what the connection holds; may close others.
        /// @return false if there is no room; nothing has changed then
        [[nodiscard]] bool hold(std::size_t bytes, time_point now);

        /// Sets what the connection holds although there may be no room.
        void hold_anyway(std::size_t bytes);

    private:
        friend class caller_account;

        /// @return bytes a second, lately
        [[nodiscard]] double rate(time_point now) const;

        caller_account& account_;
        std::string address_;
        std::function<void(eviction)> on_evict_;
        std::size_t held_ = 0;
        stage stage_ = stage::idle;
        time_point since_;
        time_point window_since_;
        std::size_t window_bytes_ = 0;
        double last_rate_ = 0; ///< in the window before
        bool evicted_ = false;
    };

    /// Makes room for a new connection; may close others.
    /// @param address IP address of the caller
    /// @return false if the connection must be closed
    [[nodiscard]] bool admit(const std::string& address, time_point now);

    [[nodiscard]] const account_counts& counts() const noexcept
    {
        return counts_;
    }
    [[nodiscard]] std::size_t held_bytes() const noexcept { return total_; }
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return members_.size();
    }

private:
    [[nodiscard]] std::size_t large_part(std::size_t bytes) const noexcept;
    [[nodiscard]] bool has_room(const member& m, std::size_t bytes) const;
    /// @param fits whether closing the connection would help
    /// @return whether a connection was closed
    bool evict(eviction why, time_point now,
               const std::function<bool(const member&)>& fits);

    account_limits limits_;
    account_counts counts_;
    std::size_t total_ = 0;
    std::size_t large_ = 0;
    std::unordered_set<member*> members_;
    std::map<std::string, std::size_t> by_address_;
};

} // namespace lovagegate::callers

#endif
