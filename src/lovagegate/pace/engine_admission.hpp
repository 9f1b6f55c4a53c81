#ifndef LOVAGEGATE_PACE_ENGINE_ADMISSION_HPP
#define LOVAGEGATE_PACE_ENGINE_ADMISSION_HPP

#include "lovagegate/gateway/adapter_coordinator.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/pace/admission_client.hpp"
#include "lovagegate/pace/engine_gates.hpp"
#include "lovagegate/pace/run_permit.hpp"

#include <cstdint>
#include <string>

namespace lovagegate::pace {

/// Connects the admission of requests to engines with the event loop: asks the
/// owners for the requests of this instance, and answers for the engines that
/// it owns.
class engine_admission
{
public:
    /// @param first_number see admission_client
    engine_admission(net::event_loop& loop, gateway::gateway_state& state,
                     const gateway::adapter_coordinator& reports,
                     std::uint64_t first_number, admission_client::sender send);
    ~engine_admission();
    engine_admission(const engine_admission&) = delete;
    engine_admission& operator=(const engine_admission&) = delete;

    /// @return whether requests to the service's targets must be admitted: they
    ///         are engines, and the fleet is so large that load reports are
    ///         relayed and late
    [[nodiscard]] bool applies_to(const std::string& service,
                                  time_point now) const;

    /// Asks the owner of the request's engine.
    /// @param done called once unless cancelled, possibly before this function
    ///        returns
    /// @return number for cancel(); 0 if the owner isn't asked
    std::uint64_t ask(gateway::run_request request,
                      admission_client::answer_handler done);
    void cancel(std::uint64_t number);

    /// @param number of an answer that admitted the request
    /// @return permit that tells the owner what becomes of the request
    [[nodiscard]] run_permit make_permit(std::uint64_t number);

    void on_message(const std::string& from, const gateway::run_request& ask);
    void on_message(const std::string& from, const gateway::run_reply& reply);
    void on_message(const std::string& from, const gateway::run_update& update);
    void on_message(const std::string& from, const gateway::adapter_usage& use);

    /// Updates the owned engines. Call it every tick.
    void tick(time_point now);

    /// @return requests of this instance that are open at the engine or may be
    ///         sent there
    [[nodiscard]] std::uint32_t open(const std::string& engine) const;

    /// @return slots of a listed engine, else 1
    [[nodiscard]] std::uint32_t slots(const std::string& engine) const;

    /// Counts a request that is sent though owners have refused it.
    void count_override() { state_.counts.add("engine_admissions_overridden"); }

    /// @return number of owned engines in slow start
    [[nodiscard]] std::size_t engines_in_slow_start() const
    {
        return gates_.in_slow_start();
    }

private:
    void deliver(const std::string& address,
                 const gateway::peer_message& message);
    void list_engines(time_point now);
    void update_owned_engines(time_point now);
    void arm_timer();

    net::event_loop& loop_;
    gateway::gateway_state& state_;
    const gateway::adapter_coordinator& reports_;
    admission_client::sender send_;
    engine_gates gates_;
    admission_client client_;
    net::timer_id timer_ = 0;
    time_point timer_at_{};
    time_point started_{};
    time_point last_listing_{};
};

} // namespace lovagegate::pace

#endif
