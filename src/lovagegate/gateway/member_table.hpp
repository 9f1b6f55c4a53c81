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

/// Timing of the membership.
struct member_settings
{
    /// Between two heartbeats of one instance.
    duration interval = 400ms;
    /// Fleets up to so many others send each heartbeat to all of them.
    std::size_t max_small_fleet_peers = 8;
    /// In small fleets, each so many heartbeats tell of the others: those that
    /// no seed names are known from them only.
    std::uint64_t introduction_period = 3;
    /// The first heartbeats after a start all do.
    std::uint64_t initial_heartbeats = 6;
    /// In larger fleets: members of the own failure domain, and of others, that
    /// get a heartbeat. Bytes between failure domains are priced.
    std::size_t local_fan_out = 8;
    std::size_t remote_fan_out = 1;
    /// The same for failure domains with few members, which must be heard too.
    std::size_t small_domain_remote_fan_out = 3;
    std::size_t small_domain_size = 10;
    /// Records of others in a heartbeat.
    std::size_t max_records = 40;
    /// Records of far members in a heartbeat that leaves the failure domain:
    /// members of one domain may know of each other only from outside.
    std::size_t max_remote_records = 12;
    /// Silence after which a member that sends here directly is not counted:
    /// three heartbeats, one of which may be lost.
    duration direct_silence_timeout = 1300ms;
    /// The same where news come over others: eight heartbeats, in which a
    /// hundred members hear of each other.
    duration indirect_silence_timeout = 3200ms;
    /// Silent members count so long for the majority.
    duration silent_member_ttl = 10s;
};

/// The instances of the system, as far as this one has heard of them. The
/// platform lists none: seeds name some machines, heartbeats name the rest.
class member_table
{
public:
    struct member
    {
        member_record record;
        time_point last_heard{}; ///< when its beat last grew
    };

    /// @param self address of this machine
    /// @param start distinguishes the starts of processes on one machine
    /// @param seeds addresses of machines; may be stale
    member_table(std::string self, incarnation start,
                 std::vector<std::string> seeds, std::uint64_t random_seed,
                 member_settings settings = {});

    void set_seeds(std::vector<std::string> seeds)
    {
        seeds_ = std::move(seeds);
    }

    /// What is told about this instance.
    member_record& self() noexcept { return self_; }
    [[nodiscard]] const member_record& self() const noexcept { return self_; }

    /// What a heartbeat told.
    struct heartbeat_result
    {
        bool joined = false; ///< a member is new or back
        /// Of the records that were not known or older before: many are passed
        /// on after newer ones have come another way.
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

    /// Makes the next heartbeats; call it once in each interval.
    [[nodiscard]] std::vector<outgoing> next(time_point now);

    /// @return whether a member was heard of lately and isn't leaving
    [[nodiscard]] bool is_alive(const member& m, time_point now) const;

    /// @return addresses of the live members and of this one, in order
    [[nodiscard]] std::vector<std::string> alive(time_point now) const;

    /// @return whether this instance hears more than half of the members that
    ///         it lately heard
    [[nodiscard]] bool has_majority(time_point now) const;

    /// @return whether members hear of each other over others
    [[nodiscard]] bool is_large() const noexcept
    {
        return members_.size() > settings_.max_small_fleet_peers;
    }

    /// @return whether this is a small fleet and all members know each other:
    ///         a seed is heard, and all know as many members
    [[nodiscard]] bool all_members_known(time_point now) const;

    /// @return live members and this one; at least one
    [[nodiscard]] std::size_t count(time_point now) const;

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
                     bool brief);
    void add_receivers(outgoing& out, member_list from, std::size_t max_count);

    member_record self_;
    std::vector<std::string> seeds_;
    member_settings settings_;
    std::map<std::string, member, std::less<>> members_;
    std::mt19937_64 random_;
};

} // namespace lovagegate::gateway

#endif
