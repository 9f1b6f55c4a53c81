#ifndef LOVAGEGATE_CAPACITY_PERMIT_COORDINATOR_HPP
#define LOVAGEGATE_CAPACITY_PERMIT_COORDINATOR_HPP

#include "lovagegate/admission/waiting_line.hpp"
#include "lovagegate/capacity/concurrency_limit.hpp"
#include "lovagegate/core/counters.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::capacity {

/// A usable target of a plain service.
struct permit_target
{
    std::string id;
    std::uint32_t slots = 1;
};

/// A message and the address of the instance that gets it.
struct outgoing_message
{
    std::string to;
    gateway::peer_message message;
};

/// Grants the permits of all targets of one plain service, in the instance that
/// coordinates them.
class permit_coordinator
{
public:
    /// @param counts gets the counts of grants and refusals
    permit_coordinator(counters& counts, std::uint64_t random_seed);

    /// @param targets usable targets of the service
    void set_targets(std::span<const permit_target> targets);

    void on_request(const std::string& from, const gateway::place_request& r,
                    time_point now);
    void on_release(const std::string& from,
                    std::span<const gateway::place_release::entry> entries,
                    time_point now);

    /// Grants permits that are free, ends leases, and tells those that wait
    /// that they are known.
    void tick(time_point now);

    /// @return messages to send since the last call
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// @return whether tick() has something to wait for
    [[nodiscard]] bool is_active() const noexcept
    {
        return line_.size() > 0 || !leases_.empty();
    }

    [[nodiscard]] std::size_t in_use() const noexcept { return leases_.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return line_.size(); }
    /// @return sum of the targets' limits
    [[nodiscard]] std::uint32_t permits() const;
    /// @return requests that run on average, for each slot
    [[nodiscard]] double use(time_point now) const;

private:
    /// An instance's number of a request.
    struct request_key
    {
        std::string from;
        std::uint64_t number = 0;
        auto operator<=>(const request_key&) const = default;
    };

    struct target_record
    {
        concurrency_limit limit;
        std::uint32_t in_use = 0;
        /// Leases since the last answer that their living holders let expire.
        std::uint32_t expired = 0;
    };

    struct lease
    {
        std::string target;
        std::uint32_t in_use = 0; ///< permits of the target, with this one
        time_point granted_at{};
        time_point ends{};
    };

    struct waiting_sender
    {
        request_key key;
        time_point next_sign{}; ///< when the sender must hear something
    };

    void grant_free_permits(time_point now);
    /// @return the target with the most room; null if none has any
    [[nodiscard]] std::map<std::string, target_record>::iterator
    choose_target(time_point now);
    void grant(const request_key& key, const std::string& target,
               target_record& t, time_point now);
    void refuse(std::span<const admission::refused_request> refused,
                time_point now);
    [[nodiscard]] duration retry_after(const admission::waiting_request& r,
                                       time_point now);
    void end_expired_leases(time_point now);
    /// Called when a lease has expired.
    void on_expired(const request_key& key, const lease& l, time_point now);
    /// @return whether a target has failed or rejects requests
    [[nodiscard]] bool has_weak_target(time_point now) const;
    void end_lease(std::map<request_key, lease>::iterator it);
    void send_signs(time_point now);
    void send_sign(std::uint64_t id, waiting_sender& sender, time_point now);
    /// Lets all that wait choose on their own.
    void release_all_waiting(time_point now);
    void reply(const request_key& key, gateway::place_grant grant,
               time_point now);
    void record_busy(duration run_time, time_point now);
    /// Called before each change, to measure how fast waiting requests are
    /// served.
    void observe_queue(time_point now);
    [[nodiscard]] duration mean_run_time() const;
    /// @return longest time that a request may wait so that its answer takes
    ///         no longer than `time_left`; below zero if that is impossible
    [[nodiscard]] duration longest_wait(duration time_left,
                                        time_point now) const;
    /// @return requests that the targets take in a second
    [[nodiscard]] double per_second() const;
    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] duration unneeded_for(time_point now) const;

    counters& counts_;
    std::mt19937_64 random_;
    admission::waiting_line line_;
    std::map<std::string, target_record> targets_;
    std::map<request_key, lease> leases_;
    std::map<std::uint64_t, waiting_sender> senders_; ///< by id in line_
    std::map<std::uint64_t, admission::waiting_request> requests_;
    std::map<request_key, std::uint64_t> waiting_ids_;
    std::map<std::string, time_point> last_heard_; ///< by instance
    std::uint64_t last_id_ = 0;
    time_point next_return_{}; ///< of a refused caller
    duration mean_run_time_{};
    bool has_run_time_ = false;
    double busy_seconds_ = 0; ///< decaying sum of run times
    time_point busy_at_{};
    time_point started_{};
    time_point idle_at_{}; ///< when last nothing waited
    /// Decaying time in which requests waited, and those served meanwhile.
    double queued_seconds_ = 0;
    double served_from_queue_ = 0;
    time_point queue_observed_at_{};
    std::vector<outgoing_message> out_;
};

} // namespace lovagegate::capacity

#endif
