#ifndef LOVAGEGATE_SOAK_CONFIG_WATCH_HPP
#define LOVAGEGATE_SOAK_CONFIG_WATCH_HPP

#include "soak/judge.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace lovagegate::soak {

/// Judges when configurations come into force. Each version has a route that
/// no other version has; questions on these routes show which one is in force.
class config_watch
{
public:
    config_watch(const calm_record& calm, report_handler report);

    /// The store acknowledged a version. Versions count up by one.
    void on_acknowledged(std::uint64_t version, time_point now);

    /// A process was started.
    void on_started(const std::string& instance, time_point now);

    /// A process was told to stop: no bound holds for it any more.
    void on_stop(const std::string& instance);

    /// An instance was asked on a version's route.
    /// @param in_force whether the route was known
    void on_answer(const std::string& instance, std::uint64_t version,
                   bool in_force, time_point sent, time_point now);

    [[nodiscard]] std::uint64_t newest() const noexcept { return newest_; }

private:
    struct lifetime
    {
        time_point started{};
        bool stopping = false;
        std::uint64_t highest = 0;
        time_point highest_seen{};
    };

    [[nodiscard]] bool is_late(const lifetime& l, time_point sent) const;
    [[nodiscard]] bool went_back(const lifetime& l, std::uint64_t shown,
                                 time_point sent) const;

    const calm_record& calm_;
    report_handler report_;
    std::uint64_t newest_ = 0;
    time_point newest_acknowledged_{};
    std::map<std::string, lifetime> lifetimes_;
};

} // namespace lovagegate::soak

#endif
