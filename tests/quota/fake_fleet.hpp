#ifndef LOVAGEGATE_TESTS_QUOTA_FAKE_FLEET_HPP
#define LOVAGEGATE_TESTS_QUOTA_FAKE_FLEET_HPP

#include "lovagegate/quota/fleet_quota.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quota_test {

using namespace lovagegate;
using quota::fleet_quota;
using quota::workspace_limit;

/// Instances that share limits, on one virtual clock and with a network that
/// loses, delays and doubles datagrams.
class fake_fleet
{
public:
    struct network
    {
        double lost = 0.02;
        double doubled = 0.02;
        double late = 0.02; ///< share of datagrams that take up to max_delay
        duration max_delay = 600ms;
    };

    /// Requests of one workspace at some instances.
    struct demand
    {
        std::string workspace;
        double tokens_per_s = 0;
        std::vector<std::size_t> instances; ///< empty: all
        std::int64_t smallest = 800;
        std::int64_t largest = 20'000;
    };

    fake_fleet(std::size_t instances, std::vector<workspace_limit> limits,
               std::uint64_t seed = 1);

    /// Runs and records. The first `warm_up` after construction is meant for
    /// the instances to learn of each other.
    void run(duration time, const std::vector<demand>& demands = {});

    std::size_t join();          ///< @return the index of the new instance
    void restart(std::size_t i); ///< with an earlier wall clock time
    void kill(std::size_t i);
    void freeze(std::size_t i, bool frozen);
    /// Splits the fleet; instances with the same number reach each other.
    void partition(const std::function<int(std::size_t)>& group);

    /// Admits one request directly, outside of demands.
    std::optional<duration> request(std::size_t i, const std::string& workspace,
                                    std::int64_t tokens);

    /// Largest sum admitted in one window by all instances.
    [[nodiscard]] std::int64_t max_window(const std::string& workspace) const;
    /// Sum admitted since a time.
    [[nodiscard]] std::int64_t admitted_since(const std::string& workspace,
                                              time_point from) const;
    /// Tokens refused, while the window had room for them, since
    /// forget_refusals().
    [[nodiscard]] std::int64_t refused_below(const std::string& workspace);
    void forget_refusals()
    {
        refused_below_.clear();
        offered_.clear();
    }
    /// Tokens asked for since forget_refusals().
    [[nodiscard]] std::int64_t offered(const std::string& workspace)
    {
        return offered_[workspace];
    }

    /// Prints tokens admitted against allowed, and refused below the limit.
    void print(const std::string& test, const std::string& workspace);
    /// @return the bound of the tokens of any window
    [[nodiscard]] double bound(const std::string& workspace) const;

    [[nodiscard]] std::size_t coordinator_of(const std::string& workspace);
    [[nodiscard]] fleet_quota& at(std::size_t i) { return *nodes_[i].quota; }
    void set_limits(std::vector<workspace_limit> limits);
    void forget_admissions() { admitted_.clear(); }
    /// @return time on the instance's own clock
    [[nodiscard]] time_point clock_of(std::size_t i) const
    {
        return clock_of(nodes_[i]);
    }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] time_point now() const { return now_; }

    struct traffic
    {
        std::uint64_t datagrams = 0;
        double bytes = 0; ///< with 28 bytes of IP and UDP headers
    };
    /// Sent and received since the last call.
    std::vector<traffic> take_traffic();

    network net;
    /// Links that lose all datagrams, while the members still know of each
    /// other through others.
    std::function<bool(std::size_t from, std::size_t to)> is_broken;

private:
    struct node
    {
        std::string address;
        std::unique_ptr<counters> counts;
        std::unique_ptr<fleet_quota> quota;
        incarnation start = 0;
        time_point since{};
        duration clock_offset{}; ///< of its monotonic clock
        duration phase{};
        std::optional<time_point> frozen;
        std::optional<time_point> dead;
        std::vector<std::function<void()>> backlog;
        traffic sent_and_received;
    };
    void begin(std::size_t i);
    [[nodiscard]] time_point clock_of(const node& n) const
    {
        return now_ + n.clock_offset;
    }
    void send(std::size_t from, const std::string& to,
              const gateway::peer_message& message);
    void deliver(std::size_t from, std::size_t to,
                 const std::shared_ptr<gateway::peer_message>& message);
    [[nodiscard]] std::vector<std::string> view_of(std::size_t i) const;
    [[nodiscard]] bool sees(std::size_t i, std::size_t j) const;
    void step(const std::vector<demand>& demands);
    void offer(const demand& d);
    [[nodiscard]] double allowed(const std::string& workspace) const;

    struct admission
    {
        time_point at{};
        std::int64_t tokens = 0;
    };

    quota::quota_settings settings_;
    std::vector<workspace_limit> limits_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<int> groups_, groups_before_;
    time_point partitioned_{};
    time_point now_{1h};
    std::map<std::string, std::vector<admission>> admitted_;
    std::map<std::string, std::int64_t> refused_below_;
    std::map<std::string, std::int64_t> offered_;
    std::size_t seeds_ = 0;
    std::uint64_t messages_ = 0;
    double mean_bytes_ = 0;
};

} // namespace quota_test

#endif
