#ifndef LOVAGEGATE_TESTS_NET_LOOP_FIXTURE_HPP
#define LOVAGEGATE_TESTS_NET_LOOP_FIXTURE_HPP

#include "lovagegate/net/event_loop.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace lovagegate::net::test {

/// Serves the loop until a condition holds.
class loop_fixture
{
public:
    event_loop loop;

    /// @return whether the condition held before the bound on waiting
    bool run_until(const std::function<bool()>& done)
    {
        bool late = false;
        const auto timer = loop.call_later(patience, [&late] { late = true; });
        while (!done() && !late)
            loop.run_once();
        loop.cancel(timer);
        return done();
    }

private:
    /// Long enough for a busy machine; only failing tests wait for it.
    static constexpr duration patience = 20s;
};

} // namespace lovagegate::net::test

#endif
