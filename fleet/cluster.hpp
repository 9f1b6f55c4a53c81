#ifndef LOVAGEGATE_FLEET_CLUSTER_HPP
#define LOVAGEGATE_FLEET_CLUSTER_HPP

#include "lovagegate/membership/view.hpp"
#include "lovagegate/propagation/ticket_gossip.hpp"
#include "lovagegate/quarantine/crash_register.hpp"
#include "lovagegate/ticket/ticket_book.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulates a fleet in one process on a virtual clock: membership, ticket
/// propagation and crash registers of all instances.
namespace lovagegate::fleet {

/// State of the configuration service as one instance sees it.
enum class service_state : std::uint8_t
{
    up,
    down,
    stale, ///< returns only tickets published before it became stale
};

/// State of one simulated instance.
struct member
{
    counters count;
    std::unique_ptr<membership::view> view;
    std::unique_ptr<ticket::ticket_book> book;
    std::unique_ptr<propagation::ticket_gossip> gossip;
    std::unique_ptr<quarantine::crash_register> crashes;
    incarnation run = 0;
    service_state service = service_state::up;
    /// Number of published tickets that a stale service returns.
    std::size_t stale_version = 0;
    /// Number of published tickets that the last read returned.
    std::size_t last_read_version = 0;
    time_point read_started{};
    bool read_pending = false;
    time_point next_list_read{};
};

/// Totals of the whole fleet.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< of frames; counted only if encoded
    std::uint64_t service_calls = 0;
};

/// Simulated instances. A message is delivered one step after it is sent.
class cluster
{
public:
    static constexpr duration step_time = 50ms;
    static constexpr duration list_read_interval = 5s;

    /// @param n number of instances, all in the instance list
    /// @param encoded whether messages are encoded and authenticated
    cluster(std::size_t n, bool encoded);

    /// Starts or restarts an instance, which has no state from earlier runs.
    void start(std::size_t i);
    /// Advances the virtual clock by d and runs every step in between.
    void run(duration d);
    /// Publishes a ticket in the configuration service.
    void publish(std::string ticket);
    void set_service(std::size_t i, service_state s);

    [[nodiscard]] static instance_id id_of(std::size_t i);
    [[nodiscard]] instant now() const;
    [[nodiscard]] const traffic& sent() const noexcept { return traffic_; }
    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }
    [[nodiscard]] member& at(std::size_t i) { return members_[i]; }

    /// Pairs of instances, smaller index first, whose messages to each other
    /// are dropped when sent.
    std::set<std::pair<std::size_t, std::size_t>> cut;

private:
    struct queued_message
    {
        std::size_t to = 0;
        protocol::envelope envelope;
        std::string bytes;
    };

    void step();
    void read_platform(std::size_t i);
    void read_list(std::size_t i);
    void read_tickets(member& m);
    void complete_read(member& m);
    void deliver(std::size_t i, const protocol::envelope& e, node::outbox& out);
    void send_outputs(std::size_t from, const node::outbox& out);
    void tick(std::size_t i, node::outbox& out);

    std::vector<member> members_;
    std::vector<queued_message> in_flight_;
    std::vector<std::string> published_;
    node::instance_list list_;
    traffic traffic_;
    time_point now_ = time_point(1000s);
    incarnation runs_ = 0;
    bool encoded_;
};

} // namespace lovagegate::fleet

#endif
