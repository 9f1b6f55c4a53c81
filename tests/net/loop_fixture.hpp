#ifndef LOVAGEGATE_TESTS_NET_LOOP_FIXTURE_HPP
#define LOVAGEGATE_TESTS_NET_LOOP_FIXTURE_HPP

#include "lovagegate/net/event_loop.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace lovagegate::net::test {

/// Runs an event loop until a condition holds.
class loop_fixture
{
public:
    event_loop loop;

    /// @return whether the condition held before wait_timeout
    bool run_until(const std::function<bool()>& done)
    {
        bool timed_out = false;
        const auto timer =
            loop.call_later(wait_timeout, [&timed_out] { timed_out = true; });
        while (!done() && !timed_out) {
            // run_once() waits until an event; the timer limits the wait, so
            // that the condition is checked regularly.
            const auto round = loop.call_later(round_interval, [] {});
            loop.run_once();
            loop.cancel(round);
        }
        loop.cancel(timer);
        return done();
    }

private:
    /// Long enough for a loaded machine; only failing tests wait this long.
    static constexpr duration wait_timeout = 20s;
    static constexpr duration round_interval = 5ms;
};

} // namespace lovagegate::net::test

#endif
