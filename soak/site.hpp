#ifndef LOVAGEGATE_SOAK_SITE_HPP
#define LOVAGEGATE_SOAK_SITE_HPP

#include "soak/caller.hpp"
#include "soak/config_watch.hpp"
#include "soak/fault_plan.hpp"
#include "soak/instance.hpp"
#include "soak/soak_target.hpp"

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::soak {

/// What one soak plays.
struct soak_settings
{
    plan_settings plan;
    std::string program; ///< the built server
    std::string folder;  ///< takes settings and logs
    /// Largest size of an instance at this load, whatever happens.
    std::size_t most_resident_kb = 0;
    std::size_t callers_for_each_instance = 6;
};

/// Instances, callers, targets and the store, with the faults of a plan.
class site
{
public:
    explicit site(const soak_settings& s);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Plays the plan.
    void run();

    /// Ends run() early; may be called from a signal handler.
    void stop() noexcept { loop_.stop(); }

    [[nodiscard]] std::size_t broken() const noexcept { return broken_; }

    /// @return what was played, in one line
    [[nodiscard]] std::string summary() const;

private:
    [[nodiscard]] time_point now() const;
    void add_instances();
    void add_callers();
    void publish_config();
    void write_config(std::uint64_t version);
    void play(const planned_fault& f);
    void harm_target(const planned_fault& f, soak_target& target);
    /// What it was told by targets until now may not have been read.
    void excuse(const instance& i);
    void harm_store(const planned_fault& f);
    /// Takes a copy of the store; the last few are kept.
    void copy_store();
    /// Ends an outage of the store with an old copy of its contents. Then the
    /// operator and the targets write again what the copy lacks.
    void restore_store(bool from_oldest_copy);
    void harm_callers(const planned_fault& f, instance& i);
    /// Sets a link and opens it again later.
    void harm_link(tcp_proxy& link, const link_state& state, duration lasts);
    void note(const planned_fault& f);
    void look_after();
    void weigh();
    void check_rest();
    void report(const broken_promise& b);
    void every(duration interval, std::function<void()> fn);
    caller_habits usual_habits();
    caller_habits questions_to(instance& i);

    soak_settings settings_;
    net::event_loop loop_;
    time_point start_;
    time_point last_look_;
    calm_record calm_;
    judge judge_;
    config_watch configs_;
    standins::platform_store store_;
    tcp_proxy store_link_;
    std::deque<standins::platform_store::copy> copies_; ///< the oldest first
    std::vector<std::unique_ptr<soak_target>> targets_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::map<fault, std::size_t> played_;
    std::ofstream played_plan_;
    process_size largest_;
    std::size_t broken_ = 0;
    std::size_t delays_of_our_own_ = 0;
};

} // namespace lovagegate::soak

#endif
