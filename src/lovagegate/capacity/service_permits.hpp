#ifndef LOVAGEGATE_CAPACITY_SERVICE_PERMITS_HPP
#define LOVAGEGATE_CAPACITY_SERVICE_PERMITS_HPP

#include "lovagegate/capacity/attempt_age.hpp"
#include "lovagegate/capacity/permit_client.hpp"
#include "lovagegate/capacity/permit_coordinator.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::capacity {

/// The permits of all plain services in one instance: asks for those that its
/// requests need, and grants those of the services that it coordinates.
class service_permits
{
public:
    using sender = std::function<void(const std::string& to,
                                      const gateway::peer_message&)>;

    service_permits(net::event_loop& loop, gateway::gateway_state& state,
                    std::mt19937_64& random, sender send);
    ~service_permits();
    service_permits(const service_permits&) = delete;
    service_permits& operator=(const service_permits&) = delete;

    /// @return whether requests to the service need permits: it has no engines,
    ///         and less permits than there are instances
    [[nodiscard]] bool are_needed(const std::string& service, time_point now);

    /// @return the estimated time since the first attempt of a request
    [[nodiscard]] duration age_of_attempt(std::uint64_t kind,
                                          duration time_left, time_point now)
    {
        return ages_.observe(kind, time_left, now);
    }

    /// See permit_client.
    std::uint64_t ask(const permit_question& q,
                      permit_client::decided_handler on_decided);
    void cancel(std::uint64_t number);
    void release(std::uint64_t number, gateway::permit_outcome outcome,
                 duration run_time);
    void on_unpermitted_end(const std::string& service,
                            gateway::permit_outcome outcome, duration run_time);

    /// Processes a message of this class.
    /// @return whether it is one
    bool on_message(const std::string& from,
                    const gateway::peer_message& message);

    /// Permits of the services that this instance coordinates.
    struct totals
    {
        double permits = 0;
        double in_use = 0;
        double waiting = 0;
    };
    [[nodiscard]] totals coordinated() const;

    /// @return permits that requests of this instance hold
    [[nodiscard]] std::size_t held() const noexcept { return client_.held(); }

private:
    struct service_record
    {
        std::string coordinator;
        time_point coordinator_chosen_at{};
        bool needed = false;
        time_point need_checked_at{};
    };

    struct coordinated_service
    {
        permit_coordinator permits;
        time_point last_refusal{};
        bool overloaded = false;
    };

    const std::string& coordinator_of(const std::string& service,
                                      time_point now);
    coordinated_service& coordinated_record(const std::string& service,
                                            time_point now);
    void process(const std::string& from, const gateway::peer_message& message);
    /// Sends what the last events produced, and sets the timer.
    void flush();
    void send(const outgoing_message& m);
    void note_overload(const std::string& service, coordinated_service& s,
                       bool refuses, time_point now);
    void tick();
    void arm_timer(time_point now);

    net::event_loop& loop_;
    gateway::gateway_state& state_;
    std::mt19937_64& random_;
    sender send_;
    permit_client client_;
    attempt_age ages_;
    std::map<std::string, service_record> services_;
    std::map<std::string, coordinated_service> coordinated_;
    net::timer_id timer_ = 0;
    time_point timer_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lovagegate::capacity

#endif
