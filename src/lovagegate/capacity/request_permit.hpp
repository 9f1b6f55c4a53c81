#ifndef LOVAGEGATE_CAPACITY_REQUEST_PERMIT_HPP
#define LOVAGEGATE_CAPACITY_REQUEST_PERMIT_HPP

#include "lovagegate/capacity/service_permits.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::capacity {

/// The permit of one request, from the question to the end of its run. Gives it
/// back when it is destroyed.
class request_permit
{
public:
    explicit request_permit(service_permits& permits) : permits_(permits) {}
    ~request_permit();
    request_permit(const request_permit&) = delete;
    request_permit& operator=(const request_permit&) = delete;

    /// What the coordinator must know of the request.
    struct request
    {
        const std::string& service;
        const gateway::route& route;
        std::uint32_t priority = 0;  ///< 0 is the most urgent
        std::uint64_t workspace = 0; ///< hash; 0: none
        time_point arrived{};
        std::optional<duration> time_left; ///< that the caller stated
        time_point deadline{};
    };

    /// Asks for a permit before the request is sent, if one is needed.
    /// @param on_decided called when the request needn't wait any more; may not
    ///        be called after this object was destroyed
    /// @return whether the request must wait
    bool ask(const request& r, std::function<void()> on_decided,
             time_point now);

    /// @return Retry-After if the request is to be refused
    [[nodiscard]] std::optional<duration> refused_for() const noexcept
    {
        return refused_for_;
    }

    /// Leaves only the target of the permit, or gives the permit back if it is
    /// not among the candidates.
    void
    restrict_to_granted(std::vector<const gateway::target_state*>& candidates,
                        std::span<const std::string> excluded);

    void on_sent(time_point now);

    /// Called when the request has ended at the target. The next send needs
    /// another permit.
    void on_left(gateway::permit_outcome outcome, time_point now);

private:
    enum class state : std::uint8_t
    {
        none,
        asking,
        decided, ///< a send follows
        sent
    };

    void give_back(gateway::permit_outcome outcome, duration run_time);

    service_permits& permits_;
    state state_ = state::none;
    std::string service_;
    std::uint64_t number_ = 0; ///< of the question or the permit; 0: none
    std::string target_;
    std::optional<duration> refused_for_;
    time_point sent_at_{};
};

} // namespace lovagegate::capacity

#endif
