#include "lovagegate/gateway/send_allowance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// What the platform's operators set for any span of this length: one and a
/// half times the limit, and five requests more.
constexpr duration judged_span = 4s;
constexpr double allowed_share = 1.5;
constexpr double allowed_extra = 5;

constexpr duration step = 10ms;
const std::string target = "engine";

std::string address(std::size_t i)
{
    return "10.0.0." + std::to_string(i);
}

/// Instances that all want to send to one target at each step.
class limited_fleet
{
public:
    limited_fleet(std::size_t instances, double per_second)
        : per_second_(per_second), offsets_(instances, 0ms),
          views_(instances, members(instances))
    {
        for (std::size_t i = 0; i < instances; ++i)
            all_.emplace_back(address(i), time_point{});
    }

    static std::vector<std::string> members(std::size_t count)
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < count; ++i)
            out.push_back(address(i));
        return out;
    }

    /// Sets the clock of an instance apart from the others.
    void set_clock(std::size_t i, std::chrono::milliseconds offset)
    {
        offsets_.at(i) = offset;
    }
    void set_view(std::size_t i, std::vector<std::string> view)
    {
        views_.at(i) = std::move(view);
    }
    void set_limit(double per_second) { per_second_ = per_second; }

    /// @param demand probability that an instance has a request at a step
    void play(duration for_time, double demand = 1)
    {
        for (const time_point end = now_ + for_time; now_ < end; now_ += step)
            for (std::size_t i = 0; i < all_.size(); ++i) {
                if (!std::bernoulli_distribution(demand)(random_))
                    continue;
                const instant now{now_, wall() + offsets_[i]};
                const auto view = [&] { return views_[i]; };
                while (all_[i].may_send(target, per_second_, view, now)) {
                    all_[i].take(target);
                    sends_.push_back(now_);
                }
            }
    }

    [[nodiscard]] double most_in_span() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sends_.size(); ++last) {
            while (sends_[last] - sends_[first] > judged_span)
                ++first;
            most = std::max(most, last + 1 - first);
        }
        return static_cast<double>(most);
    }

    [[nodiscard]] double allowed() const
    {
        return allowed_share * per_second_ * to_seconds(judged_span) +
               allowed_extra;
    }

    [[nodiscard]] double per_second() const
    {
        return static_cast<double>(sends_.size()) /
               to_seconds(now_ - time_point{});
    }

private:
    [[nodiscard]] wall_time wall() const
    {
        constexpr std::chrono::milliseconds day_begin{1796400000500};
        return wall_time(day_begin +
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now_.time_since_epoch()));
    }

    double per_second_;
    std::vector<std::chrono::milliseconds> offsets_;
    std::vector<std::vector<std::string>> views_;
    std::deque<send_allowance> all_;
    std::mt19937_64 random_{1};
    time_point now_{};
    std::vector<time_point> sends_;
};

} // namespace

TEST_CASE("all instances together send a target as many requests as it takes",
          "[gateway]")
{
    const auto instances =
        GENERATE(values<std::size_t>({1, 2, 8, 85, 195, 380}));
    const auto limit = GENERATE(0.1, 0.5, 1.0, 1.3, 3.7, 20.0, 400.0);
    CAPTURE(instances, limit);
    limited_fleet f(instances, limit);
    f.play(30s);
    CHECK(f.most_in_span() <= f.allowed());
    // 30 s touch 31 slots, and fractions of a request add up to one.
    CHECK(f.per_second() <= (31 * limit + 1) / 30);
    CHECK(f.per_second() >= 0.8 * limit);
}

TEST_CASE("a limit holds although clocks differ and some are set", "[gateway]")
{
    const auto limit = GENERATE(1.0, 1.3, 10.0);
    CAPTURE(limit);
    constexpr std::size_t instances = 9;
    limited_fleet f(instances, limit);
    for (std::size_t i = 0; i < instances; ++i)
        f.set_clock(i, std::chrono::milliseconds(40 * i));
    f.play(10s);
    for (const std::size_t i : {0U, 3U, 6U})
        f.set_clock(i, 2000ms);
    f.play(5s);
    for (const std::size_t i : {0U, 3U, 6U})
        f.set_clock(i, 0ms);
    f.play(10s);
    CHECK(f.most_in_span() <= f.allowed());
    CHECK(f.per_second() >= 0.5 * limit);
}

TEST_CASE("a limit holds while one instance is restarted and not all know it",
          "[gateway]")
{
    const auto limit = GENERATE(1.0, 1.3, 10.0);
    constexpr std::size_t instances = 8;
    limited_fleet f(instances, limit);
    f.play(5s);
    for (std::size_t i = 0; i < 4; ++i)
        f.set_view(i, limited_fleet::members(instances - 1));
    f.play(2s);
    for (std::size_t i = 0; i < instances; ++i)
        f.set_view(i, limited_fleet::members(instances));
    f.play(5s);
    CHECK(f.most_in_span() <= f.allowed());
}

TEST_CASE("requests that a target allows are not saved up", "[gateway]")
{
    limited_fleet f(8, 1.3);
    f.play(60s, 0);
    f.play(10s);
    CHECK(f.most_in_span() <= f.allowed());
}

TEST_CASE("a target that takes no request is asked now and then whether that "
          "has changed",
          "[gateway]")
{
    limited_fleet f(8, 0);
    f.play(60s);
    CHECK(f.most_in_span() <= allowed_extra);
    CHECK(f.per_second() > 0);
}

TEST_CASE("an instance that doesn't know the others yet sends nothing to a "
          "limited target",
          "[gateway]")
{
    const wall_time second(std::chrono::milliseconds(1796400000900));
    send_allowance a(address(0), time_point(5s));
    const auto alone = [] { return std::vector{address(0)}; };
    CHECK_FALSE(a.may_send(target, 1, alone, {time_point(4s), second}));
    CHECK(a.may_send(target, 1, alone, {time_point(5s), second}));
}
