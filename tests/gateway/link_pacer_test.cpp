#include "lovagegate/gateway/link_pacer.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;

TEST_CASE("large datagrams leave room on the link", "[gateway]")
{
    constexpr double link_bytes_per_s = 1e6;
    constexpr std::size_t datagram_bytes = 10000;
    constexpr int datagrams = 100; // the link needs a second for them
    link_pacer pacer(link_bytes_per_s);
    const time_point now(5s);
    CHECK(pacer.reserve(datagram_bytes, now) == 0s);
    duration last{};
    for (int i = 1; i < datagrams; ++i) {
        const duration delay = pacer.reserve(datagram_bytes, now);
        CHECK(delay > last);
        last = delay;
    }
    CHECK(last > 1s);
    CHECK(last < 2s);
    CHECK(pacer.is_busy(now + last));
    CHECK_FALSE(pacer.is_busy(now + 1min));
    CHECK(pacer.reserve(datagram_bytes, now + 1min) == 0s);
}
