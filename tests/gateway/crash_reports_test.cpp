#include "lovagegate/gateway/crash_reports.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace lovagegate;
using namespace lovagegate::gateway;
using crashes::crash_traits;

namespace {

/// Instances whose messages arrive when the test delivers them.
class instances
{
public:
    explicit instances(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    /// Starts an instance that knows nothing, in the place of an earlier one.
    void start(std::size_t i)
    {
        reports_.resize(std::max(reports_.size(), i + 1));
        reports_[i] = std::make_unique<crash_reports>(
            counts_,
            crash_reports::callbacks{
                [this, i](const peer_message& m) {
                    for (std::size_t to = 0; to < reports_.size(); ++to)
                        if (to != i)
                            mail_.push_back({i, to, m});
                },
                [this, i](const std::string& to, const peer_message& m) {
                    mail_.push_back({i, std::stoul(to), m});
                },
                [this, i](const peer_message& m) {
                    if (reports_.size() > 1)
                        mail_.push_back({i, (i + 1) % reports_.size(), m});
                },
                [this] { ++blockings; }, [i] { return i; }});
    }

    crash_reports& at(std::size_t i) { return *reports_.at(i); }

    void deliver()
    {
        for (auto& r : reports_)
            r->send_notices();
        while (!mail_.empty()) {
            const sent_message l = std::move(mail_.front());
            mail_.pop_front();
            if (lose)
                continue;
            ++delivered;
            const auto datagram = decode(encode(l.message));
            REQUIRE(datagram);
            receive(l, *datagram);
        }
    }

    /// An engine crashes under one request of each instance; the first instance
    /// finds that it no longer listens.
    void crash(std::span<const crash_traits> requests)
    {
        const std::string run = "e" + std::to_string(++crashes_) + "@1";
        for (std::size_t i = 0; i < requests.size(); ++i)
            at(i).on_connection_broken(requests[i], run, false, now);
        deliver();
        now += 10ms;
        at(0).on_connection_refused(run, now);
        deliver();
        now += 1s;
    }

    [[nodiscard]] std::size_t blocking(const crash_traits& request) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(reports_, [&](const auto& r) {
                return r->verdict(request, now) != crash_verdict::harmless;
            }));
    }

    time_point now{100s};
    bool lose = false;
    std::size_t delivered = 0;
    std::size_t blockings = 0; ///< of parts, by any instance
    std::size_t answers = 0;   ///< to questions for evidence

private:
    struct sent_message
    {
        std::size_t from;
        std::size_t to;
        peer_message message;
    };

    void receive(const sent_message& l, const peer_message& m)
    {
        crash_reports& to = at(l.to);
        if (const auto* notice = std::get_if<crash_notice>(&m))
            to.on_message(*notice, now);
        if (const auto* answered = std::get_if<answered_prompt_parts>(&m))
            to.on_message(*answered, now);
        if (const auto* blocked = std::get_if<blocked_prompt_parts>(&m))
            to.on_message(std::to_string(l.from), *blocked, now);
        if (const auto* digest = std::get_if<crash_digest>(&m)) {
            to.on_message(std::to_string(l.from), *digest, now);
            answers += digest->use == crash_digest::purpose::answer ? 1U : 0U;
        }
    }

    counters counts_;
    std::vector<std::unique_ptr<crash_reports>> reports_;
    std::deque<sent_message> mail_;
    int crashes_ = 0;
};

constexpr fingerprint common = 1;
constexpr fingerprint bad = 2;

} // namespace

TEST_CASE("crashes that different instances see block a prompt part on all",
          "[gateway]")
{
    instances all(8);
    for (fingerprint n = 0; n < 3; ++n)
        all.crash(std::array{crash_traits{100 + n, 100 + n, {common, bad}}});
    CHECK(all.blocking({200, 200, {common, bad}}) == 8);
    CHECK(all.blockings == 8);

    SECTION("an instance that starts later learns of it")
    {
        all.start(5);
        CHECK(all.blocking({200, 200, {bad}}) == 7);
        all.at(2).repeat("5", all.now);
        all.deliver();
        CHECK(all.blocking({200, 200, {bad}}) == 8);
    }
    SECTION("an instance that knows an answer corrects the others")
    {
        all.lose = true;
        all.at(3).on_answered({300, 300, {common, bad}}, all.now);
        all.deliver();
        all.lose = false;
        CHECK(all.blocking({200, 200, {bad}}) == 7);
        all.at(2).repeat("3", all.now);
        all.deliver();
        CHECK(all.blocking({200, 200, {bad}}) == 6);
    }
}

TEST_CASE("an answer at one instance clears a prompt part on all", "[gateway]")
{
    instances all(8);
    for (fingerprint n = 0; n < 10; ++n) {
        all.crash(std::array{crash_traits{100 + n, 100 + n, {common}}});
        all.at(7).on_answer_begun({200 + n, 200 + n, {common}}, all.now);
        all.deliver();
    }
    CHECK(all.blocking({300, 300, {common}}) == 0);
}

TEST_CASE("a popular prompt part is answered often but reported once",
          "[gateway]")
{
    instances all(8);
    all.crash(std::array{crash_traits{100, 100, {common}}});
    const auto before = all.delivered;
    for (fingerprint n = 0; n < 50; ++n) {
        all.at(n % 8).on_answered({200 + n, 200 + n, {common}}, all.now);
        all.deliver();
    }
    CHECK(all.delivered - before == 7);
}

TEST_CASE("the connections that one crash breaks are told in one message",
          "[gateway]")
{
    instances all(2);
    for (fingerprint n = 0; n < 20; ++n)
        all.at(0).on_connection_broken({100 + n, 100 + n, {common, bad}}, "e@1",
                                       false, all.now);
    all.deliver();
    CHECK(all.delivered == 1);
}

TEST_CASE("a request whose answer had begun is no evidence against its prompt",
          "[gateway]")
{
    instances all(1);
    for (int n = 0; n < 5; ++n) {
        const std::string run = "e" + std::to_string(n);
        all.at(0).on_connection_broken({100, 100, {bad}}, run, true, all.now);
        all.at(0).on_run_ended(run, all.now);
        all.now += 1s;
    }
    CHECK(all.at(0).verdict({200, 200, {bad}}, all.now) ==
          crash_verdict::harmless);
    CHECK(all.at(0).verdict({100, 100, {}}, all.now) ==
          crash_verdict::crashing_request);
}

namespace {

constexpr std::size_t fleet_size = 8;
const crash_traits crashing{100, 100, {}};

/// An engine crashes under a request of one instance; all learn from the store
/// that its run has ended.
void crash_listed(instances& all, const crash_traits& request,
                  const std::string& run)
{
    all.at(0).on_connection_broken(request, run, false, all.now);
    all.deliver();
    all.now += 1s;
    for (std::size_t i = 0; i < fleet_size; ++i)
        all.at(i).on_run_ended(run, all.now);
}

/// Starts all instances anew, one after the other. Each asks another one first.
void restart_all(instances& all)
{
    for (std::size_t i = 0; i < fleet_size; ++i) {
        all.start(i);
        all.at(i).ask(std::to_string((i + 1) % fleet_size), all.now);
        all.deliver();
    }
}

} // namespace

TEST_CASE("a rolling restart doesn't forget a request that crashes engines",
          "[gateway]")
{
    // Each restarted instance sent the request to engines until three more had
    // crashed, since crashes were told only when they happened.
    instances all(fleet_size);
    const std::size_t before = GENERATE(0U, 1U, 2U, 3U);
    for (std::size_t n = 0; n < 3; ++n) {
        if (n == before)
            restart_all(all);
        crash_listed(all, crashing, "e" + std::to_string(n) + "@1");
    }
    if (before == 3)
        restart_all(all);
    CHECK(all.blocking(crashing) == fleet_size);
}

TEST_CASE("crashes of a prompt part that were not enough to block it outlast a "
          "rolling restart",
          "[gateway]")
{
    instances all(fleet_size);
    for (fingerprint n = 0; n < 3; ++n) {
        all.crash(std::array{crash_traits{100 + n, 100 + n, {common, bad}}});
        if (n == 1)
            restart_all(all);
    }
    CHECK(all.blocking({200, 200, {bad}}) == fleet_size);
}

TEST_CASE("an instance that missed the news of crashes asks for them when it "
          "hears of them",
          "[gateway]")
{
    instances all(fleet_size);
    const bool told_by_the_one_that_lacks_them = GENERATE(false, true);
    for (int n = 0; n < 3; ++n) {
        const std::string run = "lost" + std::to_string(n) + "@1";
        all.at(0).on_connection_broken(crashing, run, false, all.now);
        all.at(0).on_run_ended(run, all.now);
    }
    all.lose = true;
    all.deliver();
    all.lose = false;
    REQUIRE(all.blocking(crashing) == 1);
    // The one that lacks them knows of another crash, so that it repeats too.
    all.at(3).on_connection_broken({300, 300, {}}, "other@1", false, all.now);
    all.at(3).on_run_ended("other@1", all.now);
    if (told_by_the_one_that_lacks_them)
        all.at(3).repeat("0", all.now);
    else
        all.at(0).repeat("3", all.now);
    all.deliver();
    CHECK(all.blocking(crashing) == 2);
}

TEST_CASE("instances with the same evidence exchange only their digests",
          "[gateway]")
{
    instances all(fleet_size);
    crash_listed(all, crashing, "e@1");
    const auto before = all.delivered;
    all.at(2).repeat("5", all.now);
    all.deliver();
    CHECK(all.delivered - before == 1);
}

TEST_CASE("a question for evidence is answered also if there is none",
          "[gateway]")
{
    // An instance that has started waits for the answer before it serves.
    instances all(2);
    all.at(0).ask("1", all.now);
    all.deliver();
    CHECK(all.answers == 1);
}

TEST_CASE("evidence that comes late doesn't block a request or a prompt part "
          "that engines have answered since",
          "[gateway]")
{
    const crash_traits sound{500, 500, {common}};
    const crash_traits other{501, 501, {common}};
    instances all(fleet_size);
    for (int n = 0; n < 3; ++n) {
        crash_listed(all, sound, "s" + std::to_string(n) + "@1");
        crash_listed(all, other, "o" + std::to_string(n) + "@1");
    }
    REQUIRE(all.blocking(sound) == fleet_size);
    for (std::size_t i = 0; i < fleet_size; ++i) {
        all.at(i).on_answered(sound, all.now);
        all.at(i).on_answered(other, all.now);
    }
    all.deliver();
    REQUIRE(all.blocking(sound) == 0);
    SECTION("at an instance that has just started")
    {
        restart_all(all);
    }
    SECTION("at an instance that saw the answer")
    {
        // It lacks a crash from before the answer.
        all.at(0).on_connection_broken(sound, "late@1", false, all.now - 5s);
        all.at(0).on_run_ended("late@1", all.now - 5s);
        all.at(0).repeat("1", all.now);
        all.deliver();
    }
    CHECK(all.blocking(sound) == 0);
    CHECK(all.blocking(other) == 0);
}

TEST_CASE("a crash that is told again doesn't count as a new one", "[gateway]")
{
    instances all(fleet_size);
    crash_listed(all, crashing, "a@1");
    crash_listed(all, crashing, "b@1");
    for (int n = 0; n < 5; ++n) {
        all.at(0).on_message("1", crash_digest{}, all.now);
        all.deliver();
    }
    CHECK(all.blocking(crashing) == 0);
    // The request stays blocked no longer than it was when it crashed.
    crash_listed(all, crashing, "c@1");
    REQUIRE(all.blocking(crashing) == fleet_size);
    all.now += 100s;
    all.start(1);
    all.at(1).ask("0", all.now);
    all.deliver();
    CHECK(all.blocking(crashing) == fleet_size);
    all.now += 30s;
    CHECK(all.blocking(crashing) == 0);
}
