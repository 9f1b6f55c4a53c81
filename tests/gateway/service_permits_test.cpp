#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <mutex>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";
constexpr const char* peer_address = "127.0.0.2";
/// More than the permits of the fixture's targets.
constexpr int fleet_size = 30;

/// Records the ports that the gateway got.
struct recorded_ports
{
    std::vector<std::uint16_t> all;
    std::uint16_t operator()()
    {
        all.push_back(free_port());
        return all.back();
    }
    [[nodiscard]] std::uint16_t peer_port() const
    {
        return all.at(all.size() - 2);
    }
};

/// Another instance, which the test plays: it makes a large fleet known and
/// answers requests for permits.
class played_instance
{
public:
    using answer =
        std::function<std::vector<peer_message>(const place_request&)>;

    /// @param cpu_permille decides who coordinates
    played_instance(std::uint16_t port, std::uint32_t cpu_permille, answer fn)
        : port_(port), cpu_permille_(cpu_permille), answer_(std::move(fn))
    {
        std::promise<void> ready;
        thread_ = std::thread([this, &ready] {
            net::event_loop loop;
            net::datagram_socket socket(
                loop, {peer_address, port_},
                [this](const auto&, std::string_view d) { receive(d); });
            loop_ = &loop;
            socket_ = &socket;
            beat();
            ready.set_value();
            loop.run();
        });
        ready.get_future().wait();
    }
    ~played_instance()
    {
        loop_->stop();
        thread_.join();
    }
    played_instance(const played_instance&) = delete;
    played_instance& operator=(const played_instance&) = delete;

    void send(const peer_message& m)
    {
        loop_->post([this, bytes = encode(m)] {
            socket_->send({"127.0.0.1", port_}, bytes);
        });
    }

    template <typename Message>
    [[nodiscard]] std::vector<Message> received()
    {
        const std::lock_guard lock(mutex_);
        std::vector<Message> out;
        for (const auto& m : received_)
            if (const auto* wanted = std::get_if<Message>(&m))
                out.push_back(*wanted);
        return out;
    }

private:
    void beat()
    {
        heartbeat h;
        h.self.address = peer_address;
        h.self.start = 1;
        h.self.beat = ++beat_;
        h.self.cpu_permille = cpu_permille_;
        for (int i = 0; i < fleet_size; ++i) {
            member_record other;
            other.address = "127.0.1." + std::to_string(i + 1);
            other.start = 1;
            other.beat = beat_;
            h.others.push_back(other);
        }
        socket_->send({"127.0.0.1", port_}, encode(h));
        loop_->call_later(200ms, [this] { beat(); });
    }

    void receive(std::string_view datagram)
    {
        const auto m = decode(datagram);
        if (!m)
            return;
        {
            const std::lock_guard lock(mutex_);
            received_.push_back(*m);
        }
        if (const auto* r = std::get_if<place_request>(&*m))
            for (const auto& reply : answer_(*r))
                socket_->send({"127.0.0.1", port_}, encode(reply));
    }

    std::uint16_t port_;
    std::uint32_t cpu_permille_;
    answer answer_;
    std::uint64_t beat_ = 0;
    std::thread thread_;
    net::event_loop* loop_ = nullptr;
    net::datagram_socket* socket_ = nullptr;
    std::mutex mutex_;
    std::vector<peer_message> received_;
};

constexpr std::uint32_t coordinates = 1'000'000;
constexpr std::uint32_t never_coordinates = 1;

/// Asks until the predicate holds.
template <typename Predicate>
void ask_until(site& s, Predicate done)
{
    const auto end = std::chrono::steady_clock::now() + max_wait;
    for (int n = 0; !done() && std::chrono::steady_clock::now() < end; ++n) {
        s.ask(request_text("until" + std::to_string(n), no_body, "POST"));
        std::this_thread::sleep_for(20ms);
    }
    REQUIRE(done());
}

} // namespace

// Guards against an instance that chooses the target itself although it has a
// permit for another one, and against permits that aren't given back.
TEST_CASE("a request is sent to the target of its permit", "[gateway]")
{
    std::array<std::atomic<int>, 2> seen{};
    const auto target = [&](std::size_t i) {
        return with_warm_up([&seen, i](const seen_request& r) {
            ++seen.at(i);
            return signed_answer(r, 200, "fine");
        });
    };
    auto ports = std::make_shared<recorded_ports>();
    gateway_limits limits;
    limits.next_port = [ports] { return (*ports)(); };
    site s({.kind = "non_idempotent"}, {target(0), target(1)}, limits);
    played_instance peer(
        ports->peer_port(), coordinates, [](const place_request& r) {
            return std::vector<peer_message>{
                place_grant{r.number, place_answer::granted, "i-1", {}, {}}};
        });
    ask_until(s, [&] { return !peer.received<place_request>().empty(); });
    const std::size_t before = peer.received<place_request>().size();
    seen[0] = seen[1] = 0;
    for (int n = 0; n < 20; ++n)
        CHECK(s.ask(request_text("id" + std::to_string(n), no_body, "POST"))
                  .head.status == 200);
    CHECK(seen[0] == 0);
    CHECK(seen[1] == 20);
    const auto requests = peer.received<place_request>();
    CHECK(requests.size() == before + 20);
    std::this_thread::sleep_for(100ms);
    std::size_t answered = 0;
    const auto count = [&](const auto& entries) {
        for (const auto& e : entries)
            answered += e.outcome == permit_outcome::answered ? 1U : 0U;
    };
    for (const auto& r : peer.received<place_request>())
        count(r.released);
    for (const auto& r : peer.received<place_release>())
        count(r.entries);
    CHECK(answered == requests.size());
}

// Guards against a refusal of the coordinator that the caller doesn't learn of
// at once, with the time at which it can be served.
TEST_CASE("a request without a permit is refused with the coordinator's "
          "Retry-After",
          "[gateway]")
{
    auto ports = std::make_shared<recorded_ports>();
    gateway_limits limits;
    limits.next_port = [ports] { return (*ports)(); };
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "fine");
           })},
           limits);
    played_instance peer(
        ports->peer_port(), coordinates, [](const place_request& r) {
            return std::vector<peer_message>{
                place_refusal{r.number, 345ms, place_refusal_reason::overload}};
        });
    ask_until(s, [&] { return !peer.received<place_request>().empty(); });
    s.runs = 0;
    const auto a = s.ask(request_text("id", no_body, "POST"));
    CHECK(a.head.status == 503);
    CHECK(a.head.header("Retry-After") == "0.345");
    CHECK(s.runs == 0);
}

// Guards against a coordinator whose silence holds requests, or makes them
// fail.
TEST_CASE("requests are served without a silent coordinator", "[gateway]")
{
    auto ports = std::make_shared<recorded_ports>();
    gateway_limits limits;
    limits.next_port = [ports] { return (*ports)(); };
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "fine");
           })},
           limits);
    played_instance peer(
        ports->peer_port(), coordinates,
        [](const place_request&) { return std::vector<peer_message>{}; });
    ask_until(s, [&] { return !peer.received<place_request>().empty(); });
    for (int n = 0; n < 20; ++n)
        CHECK(s.ask(request_text("id" + std::to_string(n), no_body, "POST"))
                  .head.status == 200);
    CHECK(peer.received<place_request>().size() < 10);
    CHECK(s.metric("permit_fallback_sends_total{reason=\"distrusted\"}") > 0);
}

// Guards against an instance that coordinates but doesn't answer, and against
// more permits in use than the targets have.
TEST_CASE("an instance grants the permits of a service", "[gateway]")
{
    auto ports = std::make_shared<recorded_ports>();
    gateway_limits limits;
    limits.next_port = [ports] { return (*ports)(); };
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "fine");
           })},
           limits);
    played_instance peer(
        ports->peer_port(), never_coordinates,
        [](const place_request&) { return std::vector<peer_message>{}; });
    ask_until(s, [&] { return s.metric("permits_granted_total") > 0; });
    for (std::uint64_t n = 1; n <= 30; ++n)
        peer.send(place_request{"s", n, 0, 0, 1, 300ms, 4s, false, 0, {}, {}});
    const auto end = std::chrono::steady_clock::now() + max_wait;
    const auto granted = [&] {
        std::size_t count = 0;
        for (const auto& g : peer.received<place_grant>())
            count += g.answer == place_answer::granted ? 1U : 0U;
        return count;
    };
    // Without releases, the permits return at the end of their leases.
    while (granted() < 10 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(10ms);
    CHECK(granted() >= 10);
    CHECK(s.metric("permits_in_use") <= s.metric("permits_coordinated"));
    CHECK(peer.received<place_request>().empty());
    CHECK(s.ask(request_text("own", no_body, "POST")).head.status != 0);
}
