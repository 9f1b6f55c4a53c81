#include "lovagegate/wire/session.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::protocol;
using namespace lovagegate::wire;

namespace {

const shared_key key(std::string(32, 'k'));
const sender dialer_id{instance_id("a"), 11};
const sender acceptor_id{instance_id("b"), 22};

struct session_pair
{
    session dialer{end::dialer, dialer_id, key, random_nonce()};
    session acceptor{end::acceptor, acceptor_id, key, random_nonce()};

    session_pair()
    {
        (void)acceptor.receive(dialer.hello_frame());
        (void)dialer.receive(acceptor.hello_frame());
    }
};

session_failure failure_of(session& s, std::string_view frame)
{
    try {
        (void)s.receive(frame);
    } catch (const session_error& e) {
        return e.failure();
    }
    FAIL("the frame was accepted");
    return session_failure::bad_hello;
}

} // namespace

TEST_CASE("messages carry the sender named in the hello", "[wire]")
{
    session_pair p;
    const auto r =
        p.acceptor.receive(p.dialer.seal(lease_cancel{7, pool_id("p")}));
    REQUIRE(r.what == received::message);
    CHECK(r.envelope->from.instance == dialer_id.instance);
    CHECK(r.envelope->from.start == 11);
    CHECK(std::get<lease_cancel>(r.envelope->body).id == 7);
    CHECK(p.acceptor.is_proven());
    const auto back = p.dialer.receive(p.acceptor.seal(heartbeat{}));
    CHECK(back.envelope->from.instance == acceptor_id.instance);
}

TEST_CASE("modified, replayed and reflected frames are rejected", "[wire]")
{
    session_pair p;
    const std::string frame = p.dialer.seal(heartbeat{});
    SECTION("changed")
    {
        CHECK(rc::check("any changed byte", [&] {
            std::string changed = frame;
            const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
            changed[at] = char(changed[at] ^ *rc::gen::inRange(1, 256));
            RC_ASSERT(failure_of(p.acceptor, changed) ==
                      session_failure::not_authentic);
        }));
    }
    SECTION("repeated")
    {
        (void)p.acceptor.receive(frame);
        CHECK(failure_of(p.acceptor, frame) == session_failure::replayed);
    }
    SECTION("reflected")
    {
        CHECK(failure_of(p.dialer, frame) == session_failure::not_authentic);
    }
    SECTION("of another connection")
    {
        session_pair other;
        CHECK(failure_of(other.acceptor, frame) ==
              session_failure::not_authentic);
    }
}

TEST_CASE("a peer with another key cannot send messages", "[wire]")
{
    const shared_key wrong_key(std::string(32, 'x'));
    session wrong_key_dialer(end::dialer, dialer_id, wrong_key, random_nonce());
    session acceptor(end::acceptor, acceptor_id, key, random_nonce());
    (void)acceptor.receive(wrong_key_dialer.hello_frame());
    (void)wrong_key_dialer.receive(acceptor.hello_frame());
    CHECK(failure_of(acceptor, wrong_key_dialer.seal(ticket_push{{"{}"}})) ==
          session_failure::not_authentic);
    CHECK_FALSE(acceptor.is_proven());
}

TEST_CASE("random frames only raise session_error", "[wire]")
{
    CHECK(rc::check("random frames", [] {
        session fresh(end::acceptor, acceptor_id, key, random_nonce());
        session_pair opened;
        const auto bytes = *rc::gen::arbitrary<std::string>();
        for (session* s : {&fresh, &opened.acceptor}) {
            try {
                (void)s->receive(bytes);
                RC_FAIL("the frame was accepted");
            } catch (const session_error&) {
            }
        }
    }));
}

TEST_CASE("an authentic message with an unknown value is skipped", "[wire]")
{
    session_pair p;
    // A refusal reason that this release does not know.
    const auto frame = p.dialer.seal(
        lease_refusal{1, pool_id("p"), static_cast<refusal>(250), {}});
    CHECK(p.acceptor.receive(frame).what == received::skipped);
    CHECK(p.acceptor.receive(p.dialer.seal(heartbeat{})).what ==
          received::message);
}

TEST_CASE("a message cannot be sealed before the hellos are exchanged",
          "[wire]")
{
    session s(end::dialer, dialer_id, key, random_nonce());
    CHECK_THROWS_AS(s.seal(heartbeat{}), session_error);
}
