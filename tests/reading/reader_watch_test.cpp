#include "lovagegate/reading/reader_watch.hpp"

#include "lovagegate/draining/drain_rules.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

using namespace lovagegate;
using lovagegate::draining::drain_rules;
using lovagegate::reading::reader_watch;

namespace {

constexpr time_point start{100s};
constexpr duration check_interval = 50ms;
constexpr std::size_t reader_count = 2;

/// Instances in the order in which they read the store, on a virtual clock.
/// Signs take a few milliseconds, and some are lost.
class instances
{
public:
    instances(std::size_t count, double lost_signs, std::uint64_t seed)
        : random_(seed), lost_signs_(lost_signs)
    {
        for (std::size_t i = 0; i < count; ++i)
            all_.push_back({reader_watch(start),
                            start + any(duration::zero(), check_interval)});
    }

    /// Ends the first instances.
    void lose(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            all_.at(i).lost = true;
    }

    /// @return when one that isn't on duty took over, if it did before the end
    std::optional<time_point> play_until(time_point end)
    {
        for (; now_ < end; now_ += 1ms)
            for (std::size_t i = 0; i < all_.size(); ++i)
                if (step(i))
                    return now_;
        return std::nullopt;
    }

    [[nodiscard]] time_point now() const { return now_; }

private:
    struct instance
    {
        reader_watch watch;
        time_point next_check;
        bool lost = false;
        std::vector<time_point> keepalives{}; ///< on their way
    };

    duration any(duration low, duration high)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            low.count(), high.count())(random_));
    }

    bool step(std::size_t i)
    {
        instance& self = all_[i];
        if (self.lost)
            return false;
        if (std::erase_if(self.keepalives,
                          [&](time_point t) { return t <= now_; }))
            self.watch.on_keepalive(now_);
        if (now_ < self.next_check)
            return false;
        self.next_check = now_ + check_interval;
        self.watch.on_check(now_);
        if (i >= reader_count)
            return self.watch.is_take_over_due(i - reader_count, now_);
        if (self.watch.is_keepalive_due(i, now_)) {
            self.watch.on_keepalive(now_);
            for (auto& other : all_)
                if (&other != &self &&
                    !std::bernoulli_distribution(lost_signs_)(random_))
                    other.keepalives.push_back(now_ + any(1ms, 20ms));
        }
        return false;
    }

    std::vector<instance> all_;
    time_point now_ = start;
    std::mt19937_64 random_;
    double lost_signs_;
};

} // namespace

TEST_CASE("the loss of the readers and of those next in line, at any moment, "
          "leaves time for the news of a target that leaves",
          "[reading]")
{
    // Until membership noticed the loss, 3.2 s passed, and targets that left
    // got requests until they ended.
    constexpr duration limit = 2s;
    constexpr duration call_and_news = 150ms;
    constexpr duration request_time = 100ms;
    const duration use = drain_rules(limit).use_after_news();
    const std::size_t lost = GENERATE(2U, 3U, 4U, 5U);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(lost, seed);
        instances all(12, 0, seed);
        const auto at = start + 1s + 17ms * static_cast<duration::rep>(seed);
        REQUIRE_FALSE(all.play_until(at));
        all.lose(lost);
        const auto taken_over = all.play_until(at + 10s);
        REQUIRE(taken_over);
        CHECK(*taken_over - at + call_and_news + use + request_time <= limit);
    }
}

TEST_CASE("half of a fleet may be lost with its readers", "[reading]")
{
    instances all(65, 0, 1);
    REQUIRE_FALSE(all.play_until(start + 2s));
    all.lose(32);
    // Those that take over later do so one after the other.
    CHECK(all.play_until(start + 2s + 2500ms));
}

TEST_CASE("nobody takes over from readers that live", "[reading]")
{
    const std::size_t count = GENERATE(3U, 9U, 65U);
    SECTION("both")
    {
        instances all(count, 0, count);
        CHECK_FALSE(all.play_until(start + 20s));
    }
    SECTION("the second one after the loss of the first")
    {
        instances all(count, 0, count);
        REQUIRE_FALSE(all.play_until(start + 2s));
        all.lose(1);
        CHECK_FALSE(all.play_until(start + 20s));
    }
    SECTION("although one keepalive in a hundred is lost")
    {
        instances all(9, 0.01, count);
        CHECK_FALSE(all.play_until(start + 20s));
    }
}

TEST_CASE("a keepalive that was read late is no loss of the readers",
          "[reading]")
{
    // A process that was busy for a second checks before it reads.
    reader_watch watch(start);
    watch.on_check(start + 1s);
    CHECK_FALSE(watch.is_take_over_due(0, start + 1s));
    watch.on_check(start + 1050ms);
    watch.on_keepalive(start + 1050ms);
    watch.on_check(start + 1300ms);
    CHECK_FALSE(watch.is_take_over_due(0, start + 1300ms));
    CHECK_FALSE(watch.is_silent(start + 1300ms));
}

TEST_CASE("an instance that is short of processor time doesn't take over",
          "[reading]")
{
    // In a fleet that is overloaded, many would read the store and send news to
    // all, which makes the others late as well.
    reader_watch watch(start);
    time_point now = start;
    for (int n = 0; n < 50; ++n) {
        now += 200ms;
        watch.on_check(now);
        CHECK_FALSE(watch.is_take_over_due(0, now));
    }
    for (int n = 0; n < 5; ++n) {
        now += check_interval;
        watch.on_check(now);
    }
    CHECK(watch.is_take_over_due(0, now));
}
