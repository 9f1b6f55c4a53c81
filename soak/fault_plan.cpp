#include "soak/fault_plan.hpp"

#include "soak/calm.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace lovagegate::soak {

namespace {

/// The instances find each other and their targets.
constexpr duration warm_up = 2s;
/// Nothing begins any more, so that what is open can end.
constexpr duration cool_down = 3s;
/// Until instances that were killed last are back, then the stable window.
constexpr duration calm_gap = stable_window + 1500ms;
/// Of the store, while a target leaves; longer than the drain limit.
constexpr duration silence = 2s;
constexpr int planned_kinds = 3;
constexpr int storm_kinds = static_cast<int>(fault::callers_reset) + 1;
constexpr int all_kinds = static_cast<int>(fault::store_restored) + 1;
/// Notices are drawn apart, so that a seed's other faults don't depend on them.
constexpr std::uint64_t notices_stream = 0x6e6f74696365;
/// The same of the store's restorations.
constexpr std::uint64_t restorations_stream = 0x726573746f7265;

/// Draws one plan.
class draft
{
public:
    explicit draft(const plan_settings& s)
        : settings_(s), random_(s.seed), notices_(s.seed ^ notices_stream),
          restorations_(s.seed ^ restorations_stream)
    {
    }

    std::vector<planned_fault> make()
    {
        duration at = warm_up;
        bool storm = chance(2);
        while (at + 2s < end()) {
            if (storm)
                at = draw_storm(at) + calm_gap;
            else
                at = draw_planned_work(at);
            storm = !storm;
        }
        draw_notices();
        draw_restorations();
        std::ranges::stable_sort(plan_, {}, &planned_fault::at);
        return std::move(plan_);
    }

private:
    [[nodiscard]] duration end() const { return settings_.length - cool_down; }

    /// Reductions by hand: the library's distributions differ between versions.
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool chance(std::uint64_t one_in) { return draw(one_in) == 0; }
    duration between(duration least, duration most)
    {
        return between(random_, least, most);
    }
    static duration between(std::mt19937_64& random, duration least,
                            duration most)
    {
        const auto ms = static_cast<std::uint64_t>((most - least) / 1ms);
        return least + std::chrono::milliseconds(random() % (ms + 1));
    }

    void add(duration at, fault what, duration lasts)
    {
        if (at >= end())
            return;
        const std::size_t whom = draw(is_of_instance(what) ? settings_.instances
                                                           : settings_.targets);
        plan_.push_back({at, what, whom, lasts, chance(2)});
    }

    duration draw_storm(duration from)
    {
        const duration until = std::min(from + between(2s, 5s), end() - 500ms);
        storms_.push_back({from, until});
        for (duration at = from; at < until; at += between(50ms, 900ms)) {
            const auto what = static_cast<fault>(draw(storm_kinds));
            // A stop takes longer than the storm; it is drawn less often.
            if (what == fault::stop && !chance(3))
                continue;
            add(at, what, std::min(between(100ms, 2500ms), until - at));
        }
        return until;
    }

    duration draw_planned_work(duration from)
    {
        const duration until = std::min(from + between(3s, 8s), end());
        if (chance(2))
            draw_rolling_stop(from);
        for (duration at = from; at < until; at += between(20ms, 1500ms))
            add(at, static_cast<fault>(draw(planned_kinds)), {});
        return until;
    }

    void draw_rolling_stop(duration from)
    {
        const duration pause = between(0ms, 2500ms);
        for (std::size_t i = 0; i < settings_.instances; ++i) {
            const duration at = from + pause * static_cast<int>(i);
            if (at < end())
                plan_.push_back({at, fault::stop, i, {}, false});
        }
    }

    void draw_notices()
    {
        // Of the turns the third is both at once.
        constexpr int leaves_alone = 0;
        constexpr int turns_away_alone = 1;
        constexpr int turns = 3;
        int turn = leaves_alone;
        const auto gap = [&] { return between(notices_, 800ms, 2s); };
        for (duration at = warm_up + gap(); at < end(); at += gap()) {
            const std::size_t whom = draw_target();
            if (turn != leaves_alone)
                add_turning_away(at, whom);
            if (turn != turns_away_alone)
                add_leaving(at, whom);
            turn = (turn + 1) % turns;
        }
        for (const auto& s : storms_) {
            const duration lasts = std::min(s.until - s.from, silence);
            plan_.push_back({s.from, fault::store_silent, 0, lasts, false});
            const std::size_t whom = draw_target();
            add_leaving(s.from, whom);
            add_turning_away(s.from, (whom + 1) % settings_.targets);
        }
    }

    void draw_restorations()
    {
        // Twice in a storm, so that a copy may be older than the one before.
        for (const auto& s : storms_)
            for (duration at = s.from; at + 1s < s.until; at += 2s) {
                const duration lasts = between(restorations_, 100ms, 1s);
                plan_.push_back({at, fault::store_restored, 0, lasts,
                                 restorations_() % 2 == 0});
            }
    }

    std::size_t draw_target() { return notices_() % settings_.targets; }

    void add_leaving(duration at, std::size_t whom)
    {
        add_notice(at, fault::target_leaves, whom,
                   between(notices_, 2500ms, 4500ms));
    }

    void add_turning_away(duration at, std::size_t whom)
    {
        add_notice(at, fault::target_turns_away, whom,
                   between(notices_, 500ms, 2500ms));
    }

    void add_notice(duration at, fault what, std::size_t whom, duration lasts)
    {
        plan_.push_back(
            {at, what, whom, std::min(lasts, end() - at), notices_() % 2 == 0});
    }

    struct interval
    {
        duration from;
        duration until;
    };

    plan_settings settings_;
    std::mt19937_64 random_;
    std::mt19937_64 notices_;
    std::mt19937_64 restorations_;
    std::vector<interval> storms_;
    std::vector<planned_fault> plan_;
};

} // namespace

std::string_view name_of(fault f) noexcept
{
    constexpr std::array<std::string_view, all_kinds> names{
        "stop",
        "reload",
        "new_config",
        "kill",
        "kill_all",
        "pause",
        "target_reset",
        "target_silent",
        "target_stuck",
        "target_no_way_in",
        "target_no_way_out",
        "target_slow",
        "target_crash",
        "store_down",
        "store_silent",
        "store_slow",
        "store_reset",
        "callers_slow",
        "callers_reset",
        "target_leaves",
        "target_turns_away",
        "store_restored",
    };
    return names[static_cast<std::size_t>(f)];
}

bool is_planned(fault f) noexcept
{
    return f <= fault::new_config || is_notice(f);
}

bool is_notice(fault f) noexcept
{
    return f == fault::target_leaves || f == fault::target_turns_away;
}

bool is_of_instance(fault f) noexcept
{
    return f <= fault::pause || f == fault::callers_slow ||
           f == fault::callers_reset;
}

std::vector<planned_fault> draw_plan(const plan_settings& s)
{
    return draft(s).make();
}

} // namespace lovagegate::soak
