#ifndef LOVAGEGATE_GATEWAY_MEMBER_TABLE_HPP
#define LOVAGEGATE_GATEWAY_MEMBER_TABLE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Timing and fan-out of heartbeats.
struct member_settings
{
    /// Between two heartbeats of one instance.
    duration interval = 400ms;
    /// Largest number of other members for which each heartbeat is sent to all
    /// of them.
    std::size_t max_small_fleet_peers = 8;
    /// In small fleets, every n-th heartbeat carries records of other members.
    /// Members that are not seeds are only learnt from these.
    std::uint64_t introduction_period = 3;
    /// The first n heartbeats after a start carry such records, too.
    std::uint64_t initial_heartbeats = 6;
    /// In larger fleets, number of members of the own failure domain, and of
    /// others, that each heartbeat is sent to. Traffic between failure domains
    /// is priced.
    std::size_t local_fan_out = 8;
    std::size_t remote_fan_out = 1;
    /// Remote fan-out of failure domains with fewer than small_domain_size
    /// members, so that their heartbeats spread as well.
    std::size_t small_domain_remote_fan_out = 3;
    std::size_t small_domain_size = 10;
    /// Largest number of records of other members in a heartbeat.
    std::size_t max_records = 40;
    /// Largest number of records of remote members in a heartbeat to another
    /// failure domain. Members of one domain may learn of each other only by
    /// way of another.
    std::size_t max_remote_records = 12;
    /// Time after the last heartbeat at which a member counts as silent, in
    /// small fleets: three heartbeats, one of which may be lost.
    duration direct_silence_timeout = 1300ms;
    /// The same in large fleets, where records are relayed: eight heartbeats,
    /// in which a record reaches a hundred members.
    duration indirect_silence_timeout = 3200ms;
    /// Time for which a silent member still counts as known for the majority.
    duration silent_member_ttl = 10s;
};

/// The instances of the deployment that this instance knows. The platform does
/// not list them: seeds name some machines, heartbeats name the others.
class member_table
{
public:
    struct member
    {
        member_record record;
        time_point last_heard{}; ///< when its beat counter last increased
    };

    /// @param self address of this machine
    /// @param start distinguishes successive processes on one machine
    /// @param seeds addresses of machines; may be outdated
    member_table(std::string self, incarnation start,
                 std::vector<std::string> seeds, std::uint64_t random_seed,
                 member_settings settings = {});

    void set_seeds(std::vector<std::string> seeds)
    {
        seeds_ = std::move(seeds);
    }

    [[nodiscard]] const std::vector<std::string>& seeds() const noexcept
    {
        return seeds_;
    }

    /// The record that this instance sends about itself.
    member_record& self() noexcept { return self_; }
    [[nodiscard]] const member_record& self() const noexcept { return self_; }

    /// Changes caused by a heartbeat.
    struct heartbeat_result
    {
        bool joined = false; ///< a member is new or has returned
        /// A member has lost contact with the store or has it again.
        bool store_contact_changed = false;
        /// Claims of the records that were new. Relayed records may arrive
        /// after newer ones that took another path.
        std::vector<engine_claim> claims;
    };

    /// @param from address of the sender
    heartbeat_result on_heartbeat(const heartbeat& h, std::string_view from,
                                  time_point now);

    /// One heartbeat and where to send it.
    struct outgoing
    {
        heartbeat message;
        std::vector<std::string> to;
    };

    /// Returns the next heartbeats; call it once per interval.
    [[nodiscard]] std::vector<outgoing> next(time_point now);

    /// @return whether a member isn't silent and isn't leaving
    [[nodiscard]] bool is_alive(const member& m, time_point now) const;

    /// @return addresses of the live members and of this one, in order
    [[nodiscard]] std::vector<std::string> alive(time_point now) const;

    /// @return addresses of the known members that have said that they leave
    [[nodiscard]] std::vector<std::string> leaving() const;

    /// @return whether more than half of the recently known members, with this
    ///         one, are alive
    [[nodiscard]] bool has_majority(time_point now) const;

    /// @return whether records are relayed instead of sent to all members
    [[nodiscard]] bool is_large() const noexcept
    {
        return members_.size() > settings_.max_small_fleet_peers;
    }

    /// @return whether this is a small fleet whose members all know each other:
    ///         a seed is alive or is this instance, and all report the same
    ///         number of members
    [[nodiscard]] bool all_members_known(time_point now) const;

    /// @return number of live members, including this one
    [[nodiscard]] std::size_t count(time_point now) const;

    /// @return number of members that count for the majority, including this
    ///         one: those alive, and those that were recently
    [[nodiscard]] std::size_t known(time_point now) const;

    [[nodiscard]] const std::map<std::string, member, std::less<>>&
    all() const noexcept
    {
        return members_;
    }

private:
    void merge_record(const member_record& r, bool direct, time_point now,
                      heartbeat_result& out);
    [[nodiscard]] duration silence_timeout() const;
    using member_list = std::vector<const member*>;

    [[nodiscard]] std::vector<std::string>
    sample_silent_addresses(time_point now);
    [[nodiscard]] outgoing to_small_fleet(member_list live);
    [[nodiscard]] outgoing to_local_domain(const member_list& local,
                                           member_list all);
    [[nodiscard]] outgoing to_remote_domains(member_list local,
                                             member_list remote);
    void add_records(outgoing& out, member_list from, std::size_t max_count,
                     bool claims_omitted);
    void add_receivers(outgoing& out, member_list from, std::size_t max_count);

    member_record self_;
    std::vector<std::string> seeds_;
    member_settings settings_;
    std::map<std::string, member, std::less<>> members_;
    std::mt19937_64 random_;
};

} // namespace lovagegate::gateway

#endif
