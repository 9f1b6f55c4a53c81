#include "lovagegate/wire/codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::protocol;
using namespace lovagegate::wire;

namespace {

template <typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

std::string any_text()
{
    return *rc::gen::container<std::string>(rc::gen::inRange(' ', '\x7f'));
}

stored_answer any_answer()
{
    return {any<int>(), any_text(), any_text()};
}

/// One message of each type, filled with random values.
std::vector<message> any_messages()
{
    const auto id = any<std::uint64_t>();
    const auto number = any<std::uint64_t>();
    const pool_id pool(any_text());
    const target_id target(any_text());
    const duration time(*rc::gen::inRange<std::int64_t>(-1, 1L << 60));
    const wall_time wall(
        wall_time::duration(*rc::gen::inRange<std::int64_t>(0, 1L << 46)));
    const request_id request(any_text());
    const open_lease lease{id, target, {any_text(), any_text()}, number};
    const std::uint32_t small = any<std::uint32_t>();
    return {
        lease_request{id,
                      small,
                      pool,
                      {any_text(), any_text()},
                      priority::batch,
                      time,
                      number,
                      number,
                      small,
                      {target}},
        lease_grant{id, small, pool, target, number, number, time, time, small},
        lease_refusal{id, pool, refusal::quarantined, time},
        lease_queued{id, pool},
        lease_release{pool, {{id, lease_end::crashed, time}}},
        lease_renewal{pool, {lease, lease}},
        lease_cancel{id, pool},
        pool_handover{
            pool, {{instance_id(any_text()), lease}}, {{target, number}}},
        permit_request{any_text(),
                       pool,
                       {{id, priority::normal, small, time, 0.25}},
                       small},
        permit_grant{any_text(), pool, {id, number}, time},
        permit_return{any_text(), pool, {id}},
        ticket_push{{any_text(), any_text()}},
        ticket_digest{id, number, wall},
        ticket_pull{{id, number}, id},
        claim_request{id, request, wall, number},
        claim_answer{id, claim_verdict::full, any_answer()},
        claim_result{id, request, request_outcome::unknown, any_answer()},
        claim_transfer{request, wall, time},
        claim_transfer_answer{request, any<bool>(), claim_verdict::done,
                              any_answer()},
        suspicion_push{{{number, target, id}}},
        heartbeat{phase::leaving,
                  {id, number, wall},
                  number,
                  wall,
                  any_text(),
                  {{instance_id(any_text()), id}},
                  any<bool>()},
    };
}

} // namespace

TEST_CASE("every message type round-trips", "[wire]")
{
    CHECK(rc::check("an encoded message decodes to itself", [] {
        const std::vector<message> all = any_messages();
        RC_ASSERT(all.size() == std::variant_size_v<message>);
        for (std::size_t i = 0; i < all.size(); ++i) {
            RC_ASSERT(all[i].index() == i);
            const std::string text = encode(all[i]);
            const auto back = decode(text);
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->index() == i);
            RC_ASSERT(encode(*back) == text);
        }
    }));
}

TEST_CASE("unknown fields and message types are ignored", "[wire]")
{
    const auto m = decode(R"({"jsonrpc":"2.0","method":"lease_cancel",
        "params":{"id":3,"pool":"p","colour":{"x":[1]}}})");
    REQUIRE(m.has_value());
    CHECK(std::get<lease_cancel>(*m).id == 3);
    CHECK_FALSE(decode(R"({"jsonrpc":"2.0","method":"no_such_type",
        "params":{}})")
                    .has_value());
}

TEST_CASE("an absent field keeps its default", "[wire]")
{
    const auto m =
        decode(R"({"jsonrpc":"2.0","method":"lease_grant","params":{"id":3}})");
    REQUIRE(m.has_value());
    CHECK(std::get<lease_grant>(*m).width == 1);
}

TEST_CASE("wrong types and out-of-range values are rejected", "[wire]")
{
    const std::string field =
        GENERATE(R"("id":"3")", R"("id":-3)", R"("id":1.5)", R"("pool":7)",
                 R"("width":4294967296)", R"("ttl":9223372036854775807)");
    CAPTURE(field);
    CHECK_THROWS_AS(decode(R"({"jsonrpc":"2.0","method":"lease_grant",
        "params":{)" + field +
                           "}}"),
                    decode_error);
    CHECK_THROWS_AS(decode(R"({"jsonrpc":"2.0","method":"lease_refusal",
        "params":{"reason":250}})"),
                    decode_error);
}

TEST_CASE("invalid input only raises decode_error", "[wire]")
{
    const auto try_decode = [](const std::string& text) {
        try {
            (void)decode(text);
        } catch (const decode_error&) {
        }
    };
    CHECK(rc::check("random and corrupted texts", [&] {
        try_decode(any<std::string>());
        std::string text = encode(heartbeat{});
        for (int i = 0; i < 4; ++i)
            text[any<std::size_t>() % text.size()] = any<char>();
        try_decode(text);
    }));
    try_decode(std::string(100'000, '['));
    try_decode(R"([{"jsonrpc":"2.0","method":"heartbeat","params":{}},
                   {"jsonrpc":"2.0","method":"heartbeat","params":{}}])");
}
