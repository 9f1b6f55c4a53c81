#include "tests/gateway/site_fixture.hpp"

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::gateway_test;

namespace {

constexpr const char* owner_address = "127.0.0.2";

/// An instance that owns both engines of a site, and a fleet of ten more, made
/// up by its heartbeats.
class fake_owner
{
public:
    using reply_function = std::function<std::optional<run_verdict>(
        const run_request&, std::size_t earlier)>;

    fake_owner(std::uint16_t gateway_port, reply_function reply)
        : gateway_{"127.0.0.1", gateway_port}, reply_(std::move(reply)),
          socket_(loop_, {owner_address, gateway_port},
                  [this](const settings::endpoint&, std::string_view data) {
                      if (const auto message = decode(data))
                          on_message(*message);
                  })
    {
        beat();
    }

    /// Serves until the function's result is there.
    template <typename Function>
    auto serve_while(Function fn)
    {
        auto result = std::async(std::launch::async, std::move(fn));
        while (result.wait_for(0s) != std::future_status::ready)
            loop_.run_once();
        return result.get();
    }

    std::vector<run_request> requests;
    std::vector<run_update::entry> updates;
    std::uint32_t most_told = 0; ///< open requests at an engine

private:
    void beat()
    {
        heartbeat h;
        ++beat_;
        h.self = record(owner_address);
        for (const char* const engine : {"i-0", "i-1"}) {
            engine_claim claim;
            claim.engine = engine;
            claim.token = fencing_token{1} << 60U; // above the gateway's own
            h.self.claims.push_back(claim);
        }
        for (int i = 1; i <= 10; ++i)
            h.others.push_back(record("127.0.1." + std::to_string(i)));
        socket_.send(gateway_, encode(h));
        loop_.call_later(100ms, [this] { beat(); });
    }

    [[nodiscard]] member_record record(const std::string& address) const
    {
        member_record r;
        r.address = address;
        r.start = 1;
        r.beat = beat_;
        r.failure_domain = "z";
        return r;
    }

    void on_message(const peer_message& m)
    {
        if (const auto* ask = std::get_if<run_request>(&m)) {
            const auto verdict = reply_(*ask, requests.size());
            requests.push_back(*ask);
            if (verdict)
                socket_.send(gateway_,
                             encode(run_reply{ask->number, ask->engine,
                                              *verdict, 3, 8}));
        } else if (const auto* u = std::get_if<run_update>(&m)) {
            updates.insert(updates.end(), u->entries.begin(), u->entries.end());
        } else if (const auto* use = std::get_if<adapter_usage>(&m)) {
            most_told = std::max(most_told, use->open_requests);
        }
    }

    settings::endpoint gateway_;
    reply_function reply_;
    net::event_loop loop_;
    net::datagram_socket socket_;
    std::uint64_t beat_ = 0;
};

/// @return an engine whose streams take some time
site::target_script streaming_engine()
{
    return with_warm_up([](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 700ms, then::close}};
    });
}

/// A site in a large fleet whose engines belong to another instance.
struct large_fleet
{
    explicit large_fleet(fake_owner::reply_function reply)
        : s({.kind = "streaming", .resumable = true, .engines = true},
            {streaming_engine(), streaming_engine()},
            {.next_port =
                 [this] {
                     ports.push_back(free_port());
                     return ports.back();
                 }}),
          owner(ports.at(ports.size() - 2), std::move(reply))
    {
        // The gateway gives up its engines after it has heard of their owner.
        owner.serve_while([this] {
            const auto until = std::chrono::steady_clock::now() + max_wait;
            while (
                (s.metric("members") < 12 || s.metric("engines_ordered") > 0) &&
                std::chrono::steady_clock::now() < until)
                std::this_thread::sleep_for(20ms);
        });
    }

    caller::answer ask()
    {
        return owner.serve_while([this] {
            auto a =
                s.ask(request_text("id1", "Content-Length: 0\r\n", "POST"));
            std::this_thread::sleep_for(100ms); // for the last update
            return a;
        });
    }

    std::vector<std::uint16_t> ports; ///< of the last start: peers, metrics
    site s;
    fake_owner owner;
};

} // namespace

// The parts are tested apart; this one fails if a request is sent without the
// owner's admission, to the engine that refused it, or without telling its end.
TEST_CASE("a gateway asks the owner of an engine and tells what becomes of it",
          "[pace]")
{
    large_fleet f([](const run_request&, std::size_t earlier) {
        return earlier == 0 ? run_verdict::refused : run_verdict::admitted;
    });
    const auto a = f.ask();
    CHECK(a.body == event(1) + event(2));
    REQUIRE(f.owner.requests.size() == 2);
    CHECK(f.owner.requests.front().engine != f.owner.requests.back().engine);
    REQUIRE(f.owner.updates.size() == 2);
    CHECK(f.owner.updates.front().event == run_event::begun);
    CHECK(f.owner.updates.front().engine == f.owner.requests.back().engine);
    CHECK(f.owner.updates.front().number == f.owner.requests.back().number);
    CHECK(f.owner.updates.back().event == run_event::ended);
    CHECK(f.owner.most_told == 1);
    CHECK(f.s.metric("engine_admissions_refused_total") == 1);
    CHECK(f.s.metric("engine_admissions_granted_total") == 1);
}

// An owner that is lost must not end the requests to its engines.
TEST_CASE("a request whose owner doesn't answer is sent all the same", "[pace]")
{
    large_fleet f([](const run_request&, std::size_t) {
        return std::optional<run_verdict>();
    });
    CHECK(f.ask().body == event(1) + event(2));
    CHECK(f.owner.requests.size() == 1);
    CHECK(f.owner.updates.empty());
    CHECK(f.s.metric("engine_admissions_unanswered_total") == 1);
}

// The gate steers requests; while every engine refuses, they are served.
TEST_CASE("a request that every owner refuses is counted and sent", "[pace]")
{
    large_fleet f([](const run_request& ask, std::size_t) {
        return ask.must_run ? run_verdict::admitted : run_verdict::refused;
    });
    CHECK(f.ask().body == event(1) + event(2));
    REQUIRE(f.owner.requests.size() == 3);
    CHECK(f.owner.requests.back().must_run);
    CHECK(f.s.metric("engine_admissions_overridden_total") == 1);
}
