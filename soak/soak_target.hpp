#ifndef LOVAGEGATE_SOAK_SOAK_TARGET_HPP
#define LOVAGEGATE_SOAK_SOAK_TARGET_HPP

#include "soak/judge.hpp"
#include "soak/tcp_proxy.hpp"
#include "standins/site/platform_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lovagegate::soak {

/// A target behind a proxy, published in the store. It works as the path of
/// each request says.
class soak_target
{
public:
    /// @param engine it holds adapters as it is ordered, else it is plain
    /// @param seed decides which requests it refuses
    soak_target(net::event_loop& loop, standins::platform_store& store,
                judge& j, std::string name, bool engine, std::uint64_t seed);

    [[nodiscard]] tcp_proxy& link() { return link_; }

    /// All that it was doing is lost, and connections are refused.
    void crash();

    /// Starts after a crash.
    /// @param new_id the store lists it under another id from now on
    void restart(bool new_id);

    /// From now on all answers that begin say that it leaves; it still serves.
    /// @param lasts then another life, with another id, begins in its place,
    ///              and what was running ends in order
    /// @param listed_late the store says so after half of the time, else never
    void leave(duration lasts, bool listed_late);

    /// Turns requests away for a time and says for how long it wants none.
    /// @param whole_seconds else that has a fraction
    void turn_away(duration lasts, bool whole_seconds);

    /// Writes its entry again, and removes those of its earlier ids, after the
    /// store was restored from a copy.
    void write_again();

    [[nodiscard]] const std::string& name() const { return name_; }

private:
    void start();
    void begin_life();
    void change_id();
    void list(bool as_leaving);
    [[nodiscard]] std::string id_of(int generation) const;
    [[nodiscard]] std::string id() const;
    [[nodiscard]] target_life life() const { return {name_, life_}; }
    /// Calls it later unless another life has begun or it has crashed.
    void later_in_life(duration delay, std::function<void()> fn);
    standins::script answer(const standins::seen_request& r);
    standins::script answer_of_its_own(const standins::seen_request& r);
    standins::script refuse(const standins::seen_request& r);
    /// @return nothing if the request is not one to an engine itself
    std::optional<standins::script> steer(const standins::seen_request& r);
    [[nodiscard]] bool holds(const std::string& adapter) const;
    standins::script stream(const standins::seen_request& r, const work& w);

    net::event_loop& loop_;
    standins::platform_store& store_;
    judge& judge_;
    std::string name_;
    bool engine_;
    std::uint64_t seed_;
    std::map<std::string, time_point> adapters_; ///< with the end of the load
    int generation_ = 0;                         ///< part of the id
    int life_ = 0;
    std::int64_t started_ = 0; ///< wall clock
    bool leaving_ = false;
    bool listed_as_leaving_ = false;
    time_point turns_away_until_{};
    time_point no_notice_until_{};
    bool whole_seconds_ = false;
    std::unique_ptr<standins::scripted_server> server_;
    tcp_proxy link_;
};

} // namespace lovagegate::soak

#endif
