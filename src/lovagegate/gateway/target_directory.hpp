#ifndef LOVAGEGATE_GATEWAY_TARGET_DIRECTORY_HPP
#define LOVAGEGATE_GATEWAY_TARGET_DIRECTORY_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/draining/drain_rules.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Whether a target may receive new requests.
enum class target_use : std::uint8_t
{
    normal,      ///< ready
    last_resort, ///< leaving or unlisted, but still within the drain limit
    none
};

/// What a target said of the requests that it takes from all instances.
struct target_limit
{
    std::optional<double> per_second; ///< nothing: any number
    time_point said_at{};             ///< by the latest answer
    time_point told_at{};             ///< when the others were last told
};

/// State of one target, as known to this instance.
struct target_state
{
    target_entry entry;
    /// Time from which the target is a last resort, and from which it is not
    /// used: a request sent after the drain limit would arrive too late.
    time_point not_preferred_from = time_point::max();
    time_point unusable_from = time_point::max();
    /// The target told this instance that it leaves. No entry of the same start
    /// undoes that.
    bool leaves_by_notice = false;
    /// The target told this instance to send nothing before this time.
    std::optional<time_point> paused_until;
    target_limit limit;
    bool listed = true;
    std::uint64_t store_era = 0; ///< in which the store last told of it
    /// The entry was removed, but may only have expired during an outage.
    bool removed_in_doubt = false;

    /// An entry of a restored store that isn't newer than what is known.
    struct old_entry
    {
        target_entry entry;
        time_point seen{};
    };
    std::optional<old_entry> ignored;

    [[nodiscard]] target_use use(time_point now) const noexcept;
};

/// The published targets of all services.
class target_directory
{
public:
    /// @param drain_after_notice longest time for which a leaving target may
    ///        receive new requests, from the store's acknowledgement
    explicit target_directory(duration drain_after_notice)
        : drain_rules_(drain_after_notice)
    {
    }

    /// Adds or replaces a published target.
    /// @param store_era in which the store gave the entry
    /// @return false if the entry is ignored for now: a restored store gave it,
    ///         and it isn't newer than what the target said before
    bool put(target_entry entry, time_point now, std::uint64_t store_era = 0);

    /// Takes the ignored entries that the store still has after the time in
    /// which entries of ended targets expire. Such a target lives, and has
    /// nothing new to write.
    [[nodiscard]] std::vector<target_entry>
    take_confirmed_entries(time_point now);

    /// Called when the entry of a target was removed.
    /// @param doubt_left for how much longer the entry may merely have expired
    ///        while the store was away: the target stays fully usable until
    ///        entries should have returned
    /// @param store_era in which the store no longer had the entry
    void remove(std::string_view id, duration doubt_left, time_point now,
                std::uint64_t store_era = 0);

    /// Called when an answer of a target said that it leaves. This holds for
    /// the start of the target that answered, until its id starts again.
    /// @param started_ms start of the target to which the request was sent
    /// @return whether this is new
    bool on_leaving_notice(std::string_view id, std::int64_t started_ms,
                           time_point now);

    /// Called when a target refused a request and wants no other one for some
    /// time. A pause that is already known is extended, never shortened.
    /// @param started_ms start of the target to which the request was sent
    /// @param until time before which the target gets no request
    /// @return whether the target didn't pause before
    bool on_pause(std::string_view id, std::int64_t started_ms,
                  time_point until, time_point now);

    /// Called for each answer of a target, with the limit that it names.
    /// @param started_ms start of the target that answered
    /// @param per_second limit; nothing if the answer names none
    /// @param said_at time of the answer; an older one than the known is
    ///        ignored
    /// @return whether the limit is another one than before
    bool on_limit(std::string_view id, std::int64_t started_ms,
                  std::optional<double> per_second, time_point said_at);

    /// The same for a limit that another instance has told all others, so that
    /// this one needn't repeat it for some time.
    bool on_limit_told(std::string_view id, std::int64_t started_ms,
                       std::optional<double> per_second, time_point said_at,
                       time_point now);

    /// @return whether the others are to be told of a target's limit; true only
    ///         once for some time
    bool take_limit_news(std::string_view id, bool changed, time_point now);

    /// @return the requests a second that all targets of a service take
    ///         together; nothing if none is in use or one names no limit
    [[nodiscard]] std::optional<double> total_limit(std::string_view service,
                                                    time_point now) const;

    /// @return number of targets in use that name a limit
    [[nodiscard]] std::size_t limited(time_point now) const;

    /// @return whether a pause of the target has ended since the last call that
    ///         returned true
    bool take_ended_pause(std::string_view id, time_point now);

    /// @return the time at which the first target of a service takes requests
    ///         again; nothing if one takes them now, or none will
    [[nodiscard]] std::optional<time_point>
    next_pause_end(std::string_view service, time_point now) const;

    /// Erases targets that have been unlisted for a long time.
    void expire(time_point now);

    [[nodiscard]] const target_state* find(std::string_view id) const;

    /// @return targets of a service that may receive requests, ordered by id
    [[nodiscard]] std::vector<const target_state*>
    usable(std::string_view service, time_point now) const;

    [[nodiscard]] const std::map<std::string, target_state, std::less<>>&
    all() const noexcept
    {
        return targets_;
    }

private:
    draining::drain_rules drain_rules_;
    std::map<std::string, target_state, std::less<>> targets_;
    std::map<std::string, std::vector<std::string>, std::less<>> by_service_;

    /// @return the target if it is known with this start, else null
    [[nodiscard]] target_state* find_start(std::string_view id,
                                           std::int64_t started_ms);
    void index(const std::string& service, const std::string& id);
    void unindex(const std::string& service, const std::string& id);
};

} // namespace lovagegate::gateway

#endif
