#include "lovagegate/routing/router.hpp"

#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

using namespace lovagegate;
using namespace lovagegate::routing;
using trompeloeil::_;

namespace {

const instance_id owner{"i1"};
const pool_id pool{"engines/0"};

class mock_environment : public environment
{
public:
    MAKE_CONST_MOCK0(declared, const ticket::declared_state&(), override);
    MAKE_CONST_MOCK4(choose_pool,
                     pool_id(const target_group&, const adapter_version&,
                             std::uint32_t, fingerprint),
                     override);
    MAKE_CONST_MOCK1(owner_of, std::optional<instance_id>(const pool_id&),
                     override);
    MAKE_CONST_MOCK1(home_of, std::optional<instance_id>(const request_id&),
                     override);
    MAKE_CONST_MOCK1(quarantined, bool(fingerprint), override);
    MAKE_CONST_MOCK1(crash_count, std::uint32_t(fingerprint), override);
    MAKE_CONST_MOCK0(usable_instances, std::size_t(), override);
    MAKE_MOCK1(report_crash, void(const protocol::suspicion&), override);
    MAKE_MOCK1(report_unresponsive, void(const instance_id&), override);
};

ticket::declared_state declared_site()
{
    ticket::declared_state s;
    const service_id digest{"digest"};
    const service_id hours{"hours"};
    s.services[digest].group = target_group{"engines"};
    s.services[hours].group = target_group{"plain"};
    s.services[hours].routes = {{"POST", "/signoff", false, priority::normal}};
    s.adapters["crew"] = {"base", {"2", "1"}, {digest}};
    ticket::target engine;
    engine.group = target_group{"engines"};
    s.targets[target_id{"e1"}] = engine;
    ticket::target plain;
    plain.group = target_group{"plain"};
    plain.kind = ticket::target_kind::plain;
    s.targets[target_id{"p1"}] = plain;
    s.targets[target_id{"p2"}] = plain;
    return s;
}

/// A router with a mocked environment; the test plays owners and targets.
struct fixture
{
    ticket::declared_state state = declared_site();
    routing_settings settings;
    mock_environment env;
    counters count;
    router r{settings, env, count, 1};
    time_point now{10s};
    node::outbox out;
    std::vector<std::unique_ptr<trompeloeil::expectation>> allowed;

    fixture()
    {
        allowed.push_back(
            NAMED_ALLOW_CALL(env, declared()).LR_RETURN(std::ref(state)));
        allowed.push_back(
            NAMED_ALLOW_CALL(env, choose_pool(_, _, _, _)).RETURN(pool));
        allowed.push_back(NAMED_ALLOW_CALL(env, owner_of(_)).RETURN(owner));
        allowed.push_back(NAMED_ALLOW_CALL(env, home_of(_)).RETURN(owner));
        allowed.push_back(NAMED_ALLOW_CALL(env, quarantined(_)).RETURN(false));
        allowed.push_back(NAMED_ALLOW_CALL(env, crash_count(_)).RETURN(0U));
        allowed.push_back(NAMED_ALLOW_CALL(env, usable_instances()).RETURN(1U));
    }

    void completion(local_id id, const std::string& model)
    {
        node::caller_request call;
        call.id = id;
        call.model = model;
        r.on_request(std::move(call), admission::open, now, out);
    }

    void sign_off(local_id id)
    {
        node::caller_request call;
        call.id = id;
        call.completion = false;
        call.service = service_id{"hours"};
        call.method = "POST";
        call.path = "/signoff";
        call.request = request_id{"so-1"};
        call.issued = wall_time{1s};
        r.on_request(std::move(call), admission::open, now, out);
    }

    /// Returns the outputs of one type and clears the outbox.
    template <typename T>
    std::vector<T> take_outputs()
    {
        std::vector<T> found;
        for (const node::output& o : out)
            if (const T* t = std::get_if<T>(&o))
                found.push_back(*t);
        out.clear();
        return found;
    }

    template <typename T>
    std::vector<T> take_messages()
    {
        std::vector<T> found;
        for (const auto& m : take_outputs<node::send_message>())
            if (const T* t = std::get_if<T>(&m.body))
                found.push_back(*t);
        return found;
    }

    void grant(const protocol::lease_request& request)
    {
        protocol::lease_grant g;
        g.id = request.id;
        g.pool = request.pool;
        g.target = target_id{"e1"};
        g.send_window = 2s;
        g.ttl = 6s;
        r.on_grant(owner, g, now, out);
    }

    void end_attempt(local_id id, std::uint32_t attempt, node::attempt_end end)
    {
        r.on_attempt_ended({id, attempt, end, {}, {}}, now, out);
    }

    void advance_time(duration d)
    {
        for (const time_point end = now + d; now < end;) {
            now += node::tick_interval;
            r.tick(now, out);
        }
    }
};

} // namespace

TEST_CASE("a completion is sent under a lease and releases it", "[routing]")
{
    fixture f;
    f.completion(1, "crew");
    const auto lease_requests = f.take_messages<protocol::lease_request>();
    REQUIRE(lease_requests.size() == 1);
    CHECK(lease_requests[0].adapter == adapter_version{"crew", "2"});
    f.grant(lease_requests[0]);
    const auto sent = f.take_outputs<node::start_attempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target == target_id{"e1"});
    f.end_attempt(1, 1, node::attempt_end::completed);
    const auto ended = f.take_outputs<node::finish_request>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == request_outcome::completed);
    f.advance_time(50ms);
    const auto released = f.take_messages<protocol::lease_release>();
    REQUIRE(released.size() == 1);
    CHECK(released[0].leases[0].end == protocol::lease_end::finished);
    CHECK(f.r.open() == 0);
}

TEST_CASE("a version that no ticket permits is refused without a run",
          "[routing]")
{
    fixture f;
    f.completion(1, "crew@3");
    const auto ended = f.take_outputs<node::finish_request>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == request_outcome::not_run);
    CHECK(ended[0].reason == refusal::version_not_allowed);
}

TEST_CASE("a grant that arrives after its send window is not used", "[routing]")
{
    fixture f;
    f.completion(1, "crew@1");
    const auto lease_requests = f.take_messages<protocol::lease_request>();
    f.now += 5s;
    f.grant(lease_requests.at(0));
    CHECK(f.take_outputs<node::start_attempt>().empty());
    f.advance_time(100ms);
    const auto second_requests = f.take_messages<protocol::lease_request>();
    REQUIRE(second_requests.size() == 1);
    CHECK(second_requests[0].id != lease_requests[0].id);
}

TEST_CASE("a request that is quarantined while it waits is not sent",
          "[routing]")
{
    fixture f;
    f.completion(1, "crew");
    const auto lease_requests = f.take_messages<protocol::lease_request>();
    ALLOW_CALL(f.env, quarantined(_)).RETURN(true);
    f.grant(lease_requests.at(0));
    const auto ended = f.take_outputs<node::finish_request>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == request_outcome::not_run);
    CHECK(ended[0].reason == refusal::quarantined);
    f.advance_time(50ms);
    const auto released = f.take_messages<protocol::lease_release>();
    REQUIRE(released.size() == 1);
    CHECK(released[0].leases[0].end == protocol::lease_end::not_sent);
}

TEST_CASE("a grant for an abandoned lease request is released", "[routing]")
{
    fixture f;
    protocol::lease_request abandoned;
    abandoned.id = 77;
    abandoned.pool = pool;
    f.grant(abandoned);
    f.advance_time(50ms);
    const auto released = f.take_messages<protocol::lease_release>();
    REQUIRE(released.size() == 1);
    CHECK(released[0].leases[0].end == protocol::lease_end::not_sent);
}

TEST_CASE("an unresponsive owner is reported and a new lease requested",
          "[routing]")
{
    fixture f;
    REQUIRE_CALL(f.env, report_unresponsive(owner));
    f.completion(1, "crew");
    f.advance_time(3s + 200ms);
    const auto lease_requests = f.take_messages<protocol::lease_request>();
    REQUIRE(lease_requests.size() == 4);
    CHECK(lease_requests[2].repeat == 2);
    CHECK(lease_requests[3].id != lease_requests[0].id);
}

TEST_CASE("a sign-off whose connection breaks is unknown and not retried",
          "[routing]")
{
    fixture f;
    f.sign_off(1);
    const auto claim = f.take_messages<protocol::claim_request>();
    REQUIRE(claim.size() == 1);
    f.r.on_claim_answer({1, protocol::claim_verdict::go, {}}, f.now, f.out);
    REQUIRE(f.take_outputs<node::start_attempt>().size() == 1);
    REQUIRE_CALL(f.env, report_crash(_));
    f.end_attempt(1, 1, node::attempt_end::broken);
    const node::outbox all = f.out;
    const auto ended = f.take_outputs<node::finish_request>();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].outcome == request_outcome::unknown);
    f.out = all;
    const auto claim_results = f.take_messages<protocol::claim_result>();
    REQUIRE(claim_results.size() == 1);
    CHECK(claim_results[0].outcome == request_outcome::unknown);
    f.advance_time(5s);
    CHECK(f.take_outputs<node::start_attempt>().empty());
}

TEST_CASE("a sign-off that could not be sent is retried on another target",
          "[routing]")
{
    fixture f;
    f.sign_off(1);
    f.r.on_claim_answer({1, protocol::claim_verdict::go, {}}, f.now, f.out);
    const auto first = f.take_outputs<node::start_attempt>();
    f.end_attempt(1, 1, node::attempt_end::connect_failed);
    f.advance_time(100ms);
    const auto second = f.take_outputs<node::start_attempt>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].target != first.at(0).target);
}

TEST_CASE("a sign-off that runs elsewhere does not release the other claim",
          "[routing]")
{
    fixture f;
    f.sign_off(1);
    f.out.clear();
    f.r.on_claim_answer({1, protocol::claim_verdict::running, {}}, f.now,
                        f.out);
    const node::outbox all = f.out;
    const auto ended = f.take_outputs<node::finish_request>();
    CHECK(ended.at(0).reason == refusal::request_running);
    // After "not run" the caller could repeat the sign-off under a new id.
    CHECK(ended.at(0).outcome == request_outcome::unknown);
    f.out = all;
    // The home distinguishes claimants by the id of their claim request.
    for (const auto& claim_results : f.take_messages<protocol::claim_result>())
        CHECK(claim_results.id == 1);
}

TEST_CASE("a sign-off without a request id is refused without a run",
          "[routing]")
{
    fixture f;
    node::caller_request call;
    call.completion = false;
    call.service = service_id{"hours"};
    call.method = "POST";
    call.path = "/signoff";
    f.r.on_request(std::move(call), admission::open, f.now, f.out);
    CHECK(f.take_outputs<node::finish_request>().at(0).reason ==
          refusal::request_id_required);
}

TEST_CASE("a completion that broke before its answer is retried elsewhere",
          "[routing]")
{
    fixture f;
    f.completion(1, "crew");
    f.grant(f.take_messages<protocol::lease_request>().at(0));
    REQUIRE_CALL(f.env, report_crash(_));
    f.end_attempt(1, 1, node::attempt_end::broken);
    f.advance_time(100ms);
    const auto second_requests = f.take_messages<protocol::lease_request>();
    REQUIRE(second_requests.size() == 1);
    CHECK(second_requests[0].excluded ==
          std::vector<target_id>{target_id{"e1"}});
}

TEST_CASE("a completion that broke and has no other target ends as unknown",
          "[routing]")
{
    fixture f;
    f.completion(1, "crew");
    f.grant(f.take_messages<protocol::lease_request>().at(0));
    REQUIRE_CALL(f.env, report_crash(_));
    f.end_attempt(1, 1, node::attempt_end::broken);
    f.advance_time(100ms);
    const auto second_requests = f.take_messages<protocol::lease_request>();
    f.r.on_refusal({second_requests.at(0).id, pool, refusal::no_target, {}},
                   f.now, f.out);
    CHECK(f.take_outputs<node::finish_request>().at(0).outcome ==
          request_outcome::unknown);
}
