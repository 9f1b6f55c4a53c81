#include "lovagegate/gateway/answer_memory.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace lovagegate::gateway;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
/// Memory of a process and growth with 1,000 endless answers that the operators
/// state.
constexpr std::size_t process_bytes = 260 * megabyte;
constexpr std::size_t max_growth = 64 * megabyte;

constexpr answer_memory_limits small_limits{
    .free_bytes = 10,
    .read_bytes = 20,
    .shared_bytes = 100,
    .shared_bytes_of_target = 40,
    .turns = 2,
    .turns_of_target = 1,
};

/// One answer that a target sends in reads of equal size.
class answer
{
public:
    answer(answer_memory& memory, std::string target, std::size_t length)
        : target_(std::move(target)), length_(length),
          share_(memory, [this] { may_read_ = true; })
    {
    }

    /// Reads once if that is allowed.
    void read(std::size_t bytes)
    {
        if (!may_read_ || ended_)
            return;
        held_ += bytes;
        if (held_ < length_) {
            may_read_ = share_.hold(target_, held_, false);
            return;
        }
        ended_ = true;
        held_ = 0;
        share_.release();
    }

    [[nodiscard]] std::size_t held() const { return held_; }
    [[nodiscard]] bool ended() const { return ended_; }

private:
    std::string target_;
    std::size_t length_;
    std::size_t held_ = 0;
    bool may_read_ = true;
    bool ended_ = false;
    answer_memory::share share_;
};

} // namespace

TEST_CASE("short answers are read on although others have taken all room",
          "[gateway]")
{
    answer_memory memory(small_limits);
    answer_memory::share large(memory, [] {});
    (void)large.hold("a", 1000, false);
    answer_memory::share small(memory, [] {});
    CHECK(small.hold("b", small_limits.free_bytes, false));
    CHECK(small.hold("a", small_limits.free_bytes, false));
    CHECK(memory.waiting() == 0);
}

TEST_CASE("the answers of one target leave room for those of others",
          "[gateway]")
{
    answer_memory memory(small_limits);
    std::vector<std::unique_ptr<answer_memory::share>> faulty;
    for (int i = 0; i < 5; ++i) {
        faulty.push_back(std::make_unique<answer_memory::share>(memory, [] {}));
        (void)faulty.back()->hold("a", 30, false);
    }
    CHECK(memory.waiting() == 3); // one fits, one has the target's turn
    answer_memory::share sound(memory, [] {});
    CHECK(sound.hold("b", 40, false));
}

TEST_CASE("answers that wait for room go on in their order", "[gateway]")
{
    auto limits = small_limits;
    limits.turns = 1;
    answer_memory memory(limits);
    std::vector<int> woken;
    answer_memory::share first(memory, [] {});
    answer_memory::share second(memory, [&] { woken.push_back(2); });
    answer_memory::share third(memory, [&] { woken.push_back(3); });
    CHECK(first.hold("a", 100, false)); // it has the turn
    CHECK_FALSE(second.hold("a", 100, false));
    CHECK_FALSE(third.hold("a", 100, false));
    CHECK(first.hold("a", 500, false));
    first.release();
    CHECK(woken == std::vector{2});
    CHECK(second.hold("a", 120, false));
    second.release();
    CHECK(woken == std::vector{2, 3});
}

TEST_CASE("an answer whose caller doesn't read leaves its turn to others",
          "[gateway]")
{
    auto limits = small_limits;
    limits.turns = 1;
    answer_memory memory(limits);
    bool woken = false;
    answer_memory::share first(memory, [] {});
    answer_memory::share second(memory, [&] { woken = true; });
    CHECK(first.hold("a", 100, false));
    CHECK_FALSE(second.hold("a", 100, false));
    CHECK_FALSE(first.hold("a", 100, true));
    CHECK(woken);
    CHECK(second.hold("a", 120, false));
}

TEST_CASE("an answer that ends gives back all that it held", "[gateway]")
{
    answer_memory memory(small_limits);
    {
        answer_memory::share one(memory, [] {});
        (void)one.hold("a", 500, false);
        (void)one.hold("b", 500, false);
        answer_memory::share other(memory, [] {});
        (void)other.hold("b", 500, false);
        CHECK(memory.shared_bytes() > 0);
    }
    CHECK(memory.shared_bytes() == 0);
    CHECK(memory.waiting() == 0);
    answer_memory::share next(memory, [] {});
    CHECK(next.hold("b", 30, false));
}

TEST_CASE("a thousand endless answers take a bounded part of the memory, and a "
          "long one beside them is completed",
          "[gateway]")
{
    const std::size_t targets = GENERATE(1U, 2U, 20U);
    constexpr std::size_t largest = megabyte;
    answer_memory memory(limits_for_process(process_bytes, largest));
    constexpr std::size_t read_bytes = 8 * kilobyte;
    std::vector<std::unique_ptr<answer>> endless;
    for (std::size_t i = 0; i < 1000; ++i)
        endless.push_back(std::make_unique<answer>(
            memory, "faulty-" + std::to_string(i % targets), largest));
    answer sound(memory, "sound", largest);
    std::size_t most = 0;
    for (int round = 0; round < 20000 && !sound.ended(); ++round) {
        std::size_t held = sound.held();
        for (auto& a : endless) {
            a->read(read_bytes);
            // The request goes to another target, which is as faulty.
            if (a->ended())
                a = std::make_unique<answer>(
                    memory, "faulty-" + std::to_string((round + 1) % targets),
                    largest);
            held += a->held();
        }
        sound.read(read_bytes);
        most = std::max(most, held);
    }
    CHECK(sound.ended());
    // Strings reserve up to twice what they hold.
    CHECK(2 * most < max_growth);
}
