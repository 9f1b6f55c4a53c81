#ifndef LOVAGEGATE_SOAK_NOTICE_WATCH_HPP
#define LOVAGEGATE_SOAK_NOTICE_WATCH_HPP

#include "soak/broken_promise.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::soak {

/// Time after the notice of a leaving target in which callers' requests may
/// still be sent to it. The settings of the instances say the same.
inline constexpr duration drain_after_notice = 1s;

/// One life of a target. What it said of itself doesn't hold for the next one.
struct target_life
{
    std::string target;
    int number = 0;

    auto operator<=>(const target_life&) const = default;
};

/// What a target answered to a request that reached it.
struct target_answer
{
    target_life from;
    bool runs = false;        ///< it runs the request, else it turns it away
    bool leaves = false;      ///< the answer says that the target leaves
    duration wants_nothing{}; ///< Retry-After of a 503, zero for none
};

/// How many notices were given, and how many could be judged.
struct notice_tally
{
    std::size_t leaving = 0;     ///< answers that said that their target leaves
    std::size_t passed_on = 0;   ///< of these: lives that an instance knew of
    std::size_t retry_after = 0; ///< answers that said how long to wait
};

/// Judges whether instances heed what targets say of themselves: nothing goes
/// to a target that leaves, and next to nothing to one that asked to wait.
class notice_watch
{
public:
    explicit notice_watch(report_handler report) : report_(std::move(report)) {}

    /// A caller has sent a request to an instance.
    void on_sent(const std::string& id, const std::string& instance,
                 time_point now);

    /// A request has reached the target that it was meant for.
    void on_arrival(const std::string& id, const target_life& at,
                    time_point now);

    /// The target answers it, or begins to run it.
    void on_target_answer(const std::string& id, const target_answer& answer,
                          time_point now);

    /// The caller has the whole answer of a target.
    void on_passed_on(const std::string& id, time_point now);

    /// The caller has left. Its instance may not have read the last answer of
    /// a target.
    void on_caller_left(const std::string& id);

    /// An instance was started, paused or resumed; it may have forgotten what
    /// it knew, or not have read it.
    void on_interrupted(const std::string& instance, time_point now);

    /// Answers of the target may not arrive before the end of a time.
    void on_cut(const std::string& target, time_point until);

    [[nodiscard]] const notice_tally& counts() const noexcept
    {
        return counts_;
    }

private:
    /// An instance, and a target that told it something.
    using listener = std::pair<std::string, target_life>;

    struct attempt
    {
        std::string instance;
        time_point sent;
        std::vector<target_answer> runs;
    };
    struct wait
    {
        std::string request; ///< that was answered so
        time_point from;
        time_point until;
        std::size_t arrivals = 0; ///< in the time that is judged
    };

    void check_leaving(const std::string& id, const attempt& a,
                       const target_life& at, time_point now) const;
    void check_waits(const std::string& id, const attempt& a,
                     const target_life& at, time_point now);
    [[nodiscard]] bool interrupted_since(const std::string& instance,
                                         time_point since) const;
    [[nodiscard]] bool cut_since(const std::string& target,
                                 time_point since) const;

    report_handler report_;
    std::map<std::string, attempt> attempts_;
    std::map<listener, time_point> known_leaving_; ///< since when
    std::map<listener, std::vector<wait>> waits_;
    std::map<std::string, time_point> interrupted_; ///< the last time
    std::map<std::string, time_point> cut_until_;   ///< the latest end
    notice_tally counts_;
};

} // namespace lovagegate::soak

#endif
