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

/// The parts that instances share, stepped in one process on a virtual clock.
namespace lovagegate::fleet {

/// What the configuration service does for one instance.
enum class service_state : std::uint8_t
{
    up,
    down,
    stale, ///< answers with what was published before it became stale
};

struct member
{
    counters count;
    std::unique_ptr<membership::view> view;
    std::unique_ptr<ticket::ticket_book> book;
    std::unique_ptr<propagation::ticket_gossip> gossip;
    std::unique_ptr<quarantine::crash_register> crashes;
    incarnation run = 0;
    service_state service = service_state::up;
    std::size_t stale_version = 0;
    std::size_t last_read_version = 0; ///< what the last answer contained
    time_point read_started{};
    bool read_pending = false;
    time_point next_list_read{};
};

/// Traffic of the whole fleet.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< of frames
    std::uint64_t service_calls = 0;
};

/// Instances with links of one step's delay.
class cluster
{
public:
    static constexpr duration step_time = 50ms;
    static constexpr duration list_read_interval = 5s;

    /// @param n number of instances, all listed
    /// @param encoded whether messages go as authenticated bytes
    cluster(std::size_t n, bool encoded);

    /// The process starts anew and knows nothing.
    void start(std::size_t i);
    /// Lets time pass.
    void run(duration d);
    /// Puts a ticket into the configuration service.
    void publish(std::string ticket);
    void set_service(std::size_t i, service_state s);

    [[nodiscard]] static instance_id id_of(std::size_t i);
    [[nodiscard]] instant now() const;
    [[nodiscard]] const traffic& sent() const noexcept { return traffic_; }
    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }
    [[nodiscard]] member& at(std::size_t i) { return members_[i]; }

    /// Pairs of instances whose messages are lost.
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
