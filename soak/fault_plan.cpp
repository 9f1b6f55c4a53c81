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
constexpr int planned_kinds = 3;
constexpr int all_kinds = static_cast<int>(fault::callers_reset) + 1;

/// Draws one plan.
class draft
{
public:
    explicit draft(const plan_settings& s) : settings_(s), random_(s.seed) {}

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
        const auto ms = static_cast<std::uint64_t>((most - least) / 1ms);
        return least + std::chrono::milliseconds(draw(ms + 1));
    }

    void add(duration at, fault what, duration lasts)
    {
        if (at >= end())
            return;
        const bool of_instance =
            what <= fault::pause || what >= fault::callers_slow;
        const std::size_t whom =
            draw(of_instance ? settings_.instances : settings_.targets);
        plan_.push_back({at, what, whom, lasts, chance(2)});
    }

    duration draw_storm(duration from)
    {
        const duration until = std::min(from + between(2s, 5s), end() - 500ms);
        for (duration at = from; at < until; at += between(50ms, 900ms)) {
            const auto what = static_cast<fault>(draw(all_kinds));
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

    plan_settings settings_;
    std::mt19937_64 random_;
    std::vector<planned_fault> plan_;
};

} // namespace

std::string_view name_of(fault f) noexcept
{
    constexpr std::array<std::string_view, all_kinds> names{"stop",
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
                                                            "callers_reset"};
    return names[static_cast<std::size_t>(f)];
}

bool is_planned(fault f) noexcept
{
    return f <= fault::new_config;
}

std::vector<planned_fault> draw_plan(const plan_settings& s)
{
    return draft(s).make();
}

} // namespace lovagegate::soak
