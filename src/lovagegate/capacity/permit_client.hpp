#ifndef LOVAGEGATE_CAPACITY_PERMIT_CLIENT_HPP
#define LOVAGEGATE_CAPACITY_PERMIT_CLIENT_HPP

#include "lovagegate/capacity/permit_coordinator.hpp"
#include "lovagegate/core/counters.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::capacity {

/// A request that needs a permit.
struct permit_question
{
    std::string service;
    std::uint32_t priority = 0;  ///< 0 is the most urgent
    std::uint64_t workspace = 0; ///< hash; 0: none
    std::uint64_t kind = 0;      ///< hash of the route
    duration objective_left{};   ///< below zero for a late request
    duration deadline_left{};
};

/// What a request that asked for a permit is to do.
struct permit_decision
{
    enum class action : std::uint8_t
    {
        send_to_target, ///< the permit is for this target
        send_anywhere,  ///< as if there were no permits
        refuse
    };
    action what = action::send_anywhere;
    std::string target;
    duration retry_after{};
};

/// Asks the coordinators of plain services for permits and gives them back.
/// Silence of a coordinator holds a request for 40 ms at most.
class permit_client
{
public:
    using decided_handler = std::function<void(const permit_decision&)>;

    /// @param first_number of the requests; must differ from start to start
    permit_client(counters& counts, std::uint64_t first_number);

    /// Asks for a permit.
    /// @param coordinator its address
    /// @param on_decided called once, from another call of this class
    /// @return number of the question; 0 if the request may be sent anywhere at
    ///         once, and `on_decided` isn't called
    std::uint64_t ask(const permit_question& q, const std::string& coordinator,
                      decided_handler on_decided, time_point now);

    /// Ends a question whose request has ended.
    void cancel(std::uint64_t number, time_point now);

    /// Gives back a permit.
    /// @param run_time time from sending the request to the end of its answer
    void release(std::uint64_t number, gateway::permit_outcome outcome,
                 duration run_time, time_point now);

    /// Called when the run of a request that was sent without a permit ends.
    void on_unpermitted_end(const std::string& service,
                            gateway::permit_outcome outcome, duration run_time);

    void on_message(const std::string& from, const gateway::place_grant& m,
                    time_point now);
    void on_message(const std::string& from, const gateway::place_refusal& m,
                    time_point now);

    void tick(time_point now);

    /// @return when tick() is to be called next; nothing if not at all
    [[nodiscard]] std::optional<time_point> next_tick() const;

    /// @return messages to send since the last call
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// @return coordinators that fell silent since the last call
    [[nodiscard]] std::vector<std::string> take_silent();

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return questions_.size();
    }
    [[nodiscard]] std::size_t held() const noexcept { return held_.size(); }

private:
    struct question
    {
        std::string service;
        std::string coordinator;
        time_point asked_at{};
        time_point answer_due{};
        bool had_grace = false;
        decided_handler on_decided;
    };

    struct held_permit
    {
        std::string service;
        std::string coordinator;
    };

    struct service_record
    {
        /// No permits are needed before this time, and until the second one
        /// requests needn't wait for the answer whether they still aren't.
        time_point unneeded_until{};
        time_point renewable_until{};
        /// Requests sent without a permit that the coordinator wasn't told of.
        std::uint32_t unpermitted = 0;
        duration unpermitted_run_time{};
    };

    struct coordinator_record
    {
        time_point last_heard{};
        time_point silent_at{}; ///< when it last missed a time limit
        time_point distrusted_until{};
        bool may_be_forgiven = false;
    };

    struct pending_releases
    {
        std::vector<gateway::place_release::entry> entries;
        time_point due{};
    };
    using release_key = std::pair<std::string, std::string>;

    void send_request(const permit_question& q, const std::string& coordinator,
                      std::uint64_t number, bool needs_no_permit);
    void queue_release(const std::string& coordinator,
                       const std::string& service,
                       gateway::place_release::entry entry, time_point now);
    void apply_unneeded_time(service_record& s, duration time, time_point now);
    /// Called when a coordinator shows that it lives.
    void on_heard(const std::string& coordinator, time_point now);
    void decide(std::map<std::uint64_t, question>::iterator it,
                const permit_decision& decision);
    void on_silence(std::map<std::uint64_t, question>::iterator it,
                    time_point now);

    counters& counts_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, question> questions_;
    std::map<std::uint64_t, std::string> renewals_; ///< service by number
    std::map<std::uint64_t, held_permit> held_;
    std::map<std::string, service_record, std::less<>> services_;
    std::map<std::string, coordinator_record, std::less<>> coordinators_;
    std::map<release_key, pending_releases> releases_;
    std::vector<outgoing_message> out_;
    std::vector<std::string> silent_;
};

} // namespace lovagegate::capacity

#endif
