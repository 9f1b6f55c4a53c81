#include "lovagegate/serve/signals.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <optional>

using namespace lovagegate;

TEST_CASE("signals raised while blocked reach the handlers installed later",
          "[serve]")
{
    int stops = 0;
    int reloads = 0;
    std::optional<serve::blocked_signals> blocked(std::in_place);
    std::raise(SIGTERM);
    std::raise(SIGHUP);
    const serve::signal_handlers handler([&] { ++stops; }, [&] { ++reloads; });
    CHECK(stops == 0);
    blocked.reset();
    CHECK(stops == 1);
    CHECK(reloads == 1);
}
