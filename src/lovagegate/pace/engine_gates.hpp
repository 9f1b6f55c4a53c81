#ifndef LOVAGEGATE_PACE_ENGINE_GATES_HPP
#define LOVAGEGATE_PACE_ENGINE_GATES_HPP

#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/pace/engine_gate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::pace {

/// An engine that this instance owns.
struct owned_engine
{
    std::string id;
    std::int64_t started_ms = 0;
    std::uint32_t slots = 1;
    /// Usual time to the first event of its service, if known.
    std::optional<duration> usual_first_event;
    /// When it last answered this instance's poll of its report.
    std::optional<time_point> last_report;
};

/// The gates of all engines that this instance owns; answers the messages of
/// the instances that send to them.
class engine_gates
{
public:
    explicit engine_gates(const gate_settings& settings = {})
        : settings_(settings)
    {
    }

    /// A begin or an end of a slow start, to be logged.
    struct change
    {
        std::string engine;
        bool began = false;
        double pace = 0;
        std::uint32_t open = 0;
    };

    /// Called for each run of an engine that the fleet learns of, owned or not,
    /// so that a later owner knows whether it has just started.
    /// @param known_at_start it was already listed when this instance started
    void on_listed(const std::string& engine, std::int64_t started_ms,
                   bool known_at_start, time_point now);

    /// Updates the set of owned engines.
    /// @return the begins and ends of slow starts since the last call
    std::vector<change> update(std::span<const owned_engine> owned,
                               time_point now);

    /// @param from address of the sender; empty: this instance
    [[nodiscard]] gateway::run_reply on_request(const std::string& from,
                                                const gateway::run_request& ask,
                                                time_point now);

    void on_update(const std::string& from, const gateway::run_update& update,
                   time_point now);

    /// Called when an instance tells the number of its open requests.
    void on_told(const std::string& from, const std::string& engine,
                 std::uint32_t open, time_point now);

    /// @return number of owned engines in slow start
    [[nodiscard]] std::size_t in_slow_start() const;

    [[nodiscard]] const engine_gate* find(std::string_view engine) const;

private:
    struct owned
    {
        owned_engine facts;
        engine_gate gate;
        bool logged_slow_start = false;
    };

    /// A run of an engine, as first seen by this instance.
    struct listed_run
    {
        std::int64_t started_ms = 0;
        bool known_at_start = false;
        time_point first_seen{};
        time_point last_seen{};
    };

    [[nodiscard]] engine_gate::start_kind kind_of(const owned_engine& e,
                                                  time_point now) const;

    gate_settings settings_;
    std::map<std::string, owned, std::less<>> gates_;
    std::map<std::string, listed_run, std::less<>> runs_;
};

} // namespace lovagegate::pace

#endif
