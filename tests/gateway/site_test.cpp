#include "lovagegate/gateway/gateway_daemon.hpp"
#include "lovagegate/logging/log.hpp"
#include "standins/site/platform_store.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lovagegate;
using namespace lovagegate::standins;
using nlohmann::json;

namespace {

/// Longer than anything takes on a busy machine; only failures wait for it.
constexpr auto patience = 20s;

std::uint16_t free_port()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
    socklen_t size = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    ::close(fd);
    return ntohs(a.sin_port);
}

/// One connection of a caller, with blocking calls.
class caller
{
public:
    explicit caller(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_port = htons(port);
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a);
        const timeval limit{patience.count(), 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~caller() { leave(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void send(const std::string& bytes)
    {
        ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void leave()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

    struct answer
    {
        net::message_head head;
        std::string body;
        bool complete = false;
    };

    answer read()
    {
        net::message_reader reader(net::message_reader::kind::responses, 65536);
        answer a;
        std::array<char, 4096> buffer{};
        for (;;) {
            if (rest_.empty()) {
                const auto n = ::recv(fd_, buffer.data(), buffer.size(), 0);
                if (n <= 0)
                    return a;
                rest_.assign(buffer.data(), static_cast<std::size_t>(n));
            }
            const auto p = reader.read(
                rest_, [&](net::message_head& h) { a.head = h; },
                [&](std::string_view part) { a.body += part; });
            rest_.erase(0, p.used);
            if (p.complete || p.failure != net::parse_failure::none) {
                a.complete = p.complete;
                return a;
            }
        }
    }

private:
    int fd_;
    std::string rest_;
};

/// The gateway between a caller, a store and scripted targets.
class site
{
public:
    using target_script = std::function<script(const seen_request&)>;

    /// @param kind of the route, as the platform names it
    site(std::string kind, std::vector<target_script> targets,
         bool resumable = false, int attempts = 2)
    {
        std::promise<void> ready;
        standins_thread_ = std::thread([&, this] {
            net::event_loop loop;
            platform_store store(loop);
            std::vector<std::unique_ptr<scripted_server>> servers;
            for (std::size_t i = 0; i < targets.size(); ++i) {
                servers.push_back(std::make_unique<scripted_server>(
                    loop, counted(targets[i])));
                servers.back()->on_left = [this] { ++left; };
                store.put("servers/i-" + std::to_string(i),
                          entry(servers.back()->port()));
            }
            store.put("op/config", config(kind, resumable, attempts, 1));
            store_ = &store;
            loop_ = &loop;
            store_port_ = store.port();
            ready.set_value();
            loop.run();
        });
        ready.get_future().wait();
        start_gateway();
    }

    ~site()
    {
        stop();
        loop_->stop();
        standins_thread_.join();
    }
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    static std::string request(const std::string& id,
                               const std::string& more = {},
                               const std::string& method = "GET")
    {
        return method + " /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
               "\r\nX-Request-Deadline: 15000\r\n" + more + "\r\n";
    }

    caller::answer ask(const std::string& bytes)
    {
        caller c(callers_port_);
        c.send(bytes);
        return c.read();
    }

    /// Runs a change of the store on its thread.
    void change(const std::function<void(platform_store&)>& fn)
    {
        std::promise<void> done;
        loop_->post([&] {
            fn(*store_);
            done.set_value();
        });
        done.get_future().wait();
    }

    void stop()
    {
        if (!gateway_thread_.joinable())
            return;
        daemon_->stop();
        gateway_thread_.join();
    }

    static std::string config(const std::string& kind, bool resumable,
                              int attempts, int version,
                              const std::string& prefix = "/p/")
    {
        return json{{"version", version},
                    {"routes",
                     {{{"name", "r"},
                       {"host", "h"},
                       {"prefix", prefix},
                       {"kind", kind},
                       {"timeoutMs", 15000},
                       {"targetLatencyMs", 5000},
                       {"priority", 1},
                       {"service", "s"},
                       {"maxAttempts", attempts},
                       {"resumable", resumable}}}},
                    {"services", {{{"name", "s"}, {"maxConnections", 50}}}}}
            .dump();
    }

    [[nodiscard]] std::uint16_t callers_port() const { return callers_port_; }
    [[nodiscard]] std::uint16_t ready_port() const { return ready_port_; }

    std::atomic<int> runs{0};
    std::atomic<int> left{0};

private:
    target_script counted(const target_script& fn)
    {
        return [this, fn](const seen_request& r) {
            ++runs;
            return fn(r);
        };
    }

    static std::string entry(std::uint16_t port)
    {
        return json{{"service", "s"},
                    {"address", "127.0.0.1:" + std::to_string(port)},
                    {"zone", "z"},
                    {"slots", 6},
                    {"state", "ready"},
                    {"born", 1}}
            .dump();
    }

    void start_gateway()
    {
        logging::configure(settings::log_level::error);
        gateway::boot_settings s;
        s.instance = "n1";
        s.address = "127.0.0.1";
        s.failure_domain = "z";
        s.callers = {"127.0.0.1", callers_port_ = free_port()};
        s.readiness = {"127.0.0.1", ready_port_ = free_port()};
        s.control = {"127.0.0.1", free_port()};
        s.peer_port = free_port();
        s.metrics_port = free_port();
        s.store = {"127.0.0.1", store_port_};
        s.first_start = true;
        s.stop_grace = 2s; // so that tests end soon
        std::promise<void> made;
        gateway_thread_ = std::thread([this, s, &made] {
            gateway::gateway_daemon daemon(s, [s] { return s; });
            daemon_ = &daemon;
            made.set_value();
            daemon.run();
        });
        made.get_future().wait();
        // Until the configuration and the targets are known.
        for (;;) {
            const auto a = ask(request("warm-up", "X-Test: 1\r\n"));
            if (a.head.status != 503)
                break;
            std::this_thread::sleep_for(10ms);
        }
        runs = 0;
        left = 0;
    }

    std::thread standins_thread_;
    std::thread gateway_thread_;
    net::event_loop* loop_ = nullptr;
    platform_store* store_ = nullptr;
    gateway::gateway_daemon* daemon_ = nullptr;
    std::uint16_t store_port_ = 0;
    std::uint16_t callers_port_ = 0;
    std::uint16_t ready_port_ = 0;
};

bool is_warm_up(const seen_request& r)
{
    return r.head.has("X-Test");
}

std::string id_of(const seen_request& r)
{
    return "X-Attempt-Id: " + std::string(r.head.header("X-Attempt-Id"));
}

script good(const seen_request& r, const std::string& body = "fine")
{
    return {{whole_answer(200, {id_of(r), "X-Server-Seal: s"}, body),
             {},
             then::go_on}};
}

/// Answers the fixture's first request, then as the test says.
site::target_script warm(site::target_script fn)
{
    return
        [fn](const seen_request& r) { return is_warm_up(r) ? good(r) : fn(r); };
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
           "\n\n";
}

std::string stream_head(const seen_request& r)
{
    return "HTTP/1.1 200 OK\r\n" + id_of(r) +
           "\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
}

} // namespace

TEST_CASE("a request reaches its target unchanged and is answered", "[gateway]")
{
    std::mutex mutex;
    seen_request seen;
    site s("non_idempotent", {warm([&](const seen_request& r) {
               const std::lock_guard lock(mutex);
               seen = r;
               return good(r, "the answer");
           })});
    const auto a = s.ask(
        site::request(
            "id1", "Transfer-Encoding: chunked\r\nX-Own: 7\r\nKv-From: x\r\n",
            "POST") +
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(a.head.status == 200);
    CHECK(a.complete);
    CHECK(a.body == "the answer");
    CHECK(a.head.header("X-Server-Seal") == "s");
    const std::lock_guard lock(mutex);
    CHECK(seen.body == "abcde");
    CHECK(seen.head.target == "/p/x");
    CHECK(seen.head.header("X-Own") == "7");
    CHECK(seen.head.header("X-Expected-Instance") == "i-0");
    CHECK_FALSE(seen.head.has("Kv-From"));
}

TEST_CASE("what may run once is not sent again after a reset", "[gateway]")
{
    site s("non_idempotent", {warm([](const seen_request&) {
                                  return script{{"", {}, then::reset}};
                              }),
                              warm([](const seen_request&) {
                                  return script{{"", {}, then::reset}};
                              })});
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 502);
    CHECK(s.runs == 1);
}

TEST_CASE("a target that didn't run the request lets another one run it",
          "[gateway]")
{
    std::atomic<int> asked{0};
    const auto first_refuses = warm([&](const seen_request& r) {
        if (++asked == 1)
            return script{
                {whole_answer(503, {id_of(r), "X-Not-Executed: 1"}, ""),
                 {},
                 then::go_on}};
        return good(r);
    });
    site s("non_idempotent", {first_refuses, first_refuses});
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 200);
    CHECK(s.runs == 2);
}

TEST_CASE("a refusal by all targets is told as not run", "[gateway]")
{
    const auto refuses = warm([](const seen_request& r) {
        return script{{whole_answer(503, {id_of(r), "X-Not-Executed: 1"}, ""),
                       {},
                       then::go_on}};
    });
    site s("non_idempotent", {refuses, refuses});
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 503);
    CHECK_FALSE(a.head.header("Retry-After").empty());
}

TEST_CASE("a target that is another one than expected is tried once",
          "[gateway]")
{
    std::atomic<int> first{0};
    const auto misdirected = warm([&](const seen_request& r) {
        ++first;
        return script{{whole_answer(421, {id_of(r)}, ""), {}, then::go_on}};
    });
    site s("non_idempotent", {misdirected, misdirected});
    const auto a = s.ask(site::request(
        "id1", "Content-Length: 0\r\nX-Model-Name: m/a1\r\n", "POST"));
    CHECK(a.head.status == 503);
    CHECK(first <= 2);
}

TEST_CASE("an idempotent request is tried again after a failure", "[gateway]")
{
    std::atomic<int> asked{0};
    const auto fails_once = warm([&](const seen_request& r) {
        if (++asked > 1)
            return good(r);
        return script{{whole_answer(500, {id_of(r), "X-Server-Seal: s"}, "no"),
                       {},
                       then::go_on}};
    });
    site s("idempotent", {fails_once, fails_once});
    const auto a = s.ask(site::request("id1"));
    CHECK(a.head.status == 200);
    CHECK(a.body == "fine");
}

TEST_CASE("a success without the target's signature reaches nobody",
          "[gateway]")
{
    site s("non_idempotent", {warm([](const seen_request& r) {
               return script{
                   {whole_answer(200, {id_of(r)}, "forged"), {}, then::go_on}};
           })});
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 502);
    CHECK(a.body.find("forged") == std::string::npos);
}

TEST_CASE("an answer to another request is passed over", "[gateway]")
{
    site s(
        "idempotent", {warm([](const seen_request& r) {
            return script{
                {whole_answer(200, {"X-Attempt-Id: other", "X-Server-Seal: s"},
                              "not yours") +
                     good(r, "yours").front().bytes,
                 {},
                 then::go_on}};
        })});
    for (int i = 0; i < 3; ++i) {
        const auto a = s.ask(site::request("id" + std::to_string(i)));
        CHECK(a.body == "yours");
    }
}

TEST_CASE("a second answer is not taken for that of the next request",
          "[gateway]")
{
    site s(
        "idempotent", {warm([](const seen_request& r) {
            const auto bytes =
                good(r, r.head.header("X-Attempt-Id").data()).front().bytes;
            return script{{bytes, {}, then::go_on}, {bytes, 2ms, then::go_on}};
        })});
    caller c(s.callers_port());
    for (int i = 0; i < 20; ++i) {
        const auto id = "id" + std::to_string(i);
        c.send(site::request(id));
        const auto a = c.read();
        REQUIRE(a.head.status == 200);
        CHECK(a.head.header("X-Attempt-Id") == id);
        CHECK(a.body == id);
    }
}

TEST_CASE("a truncated answer is replaced or shown as a failure", "[gateway]")
{
    const auto cuts = warm([](const seen_request& r) {
        return script{{"HTTP/1.1 200 OK\r\n" + id_of(r) +
                           "\r\nX-Server-Seal: s\r\nContent-Length: 90\r\n\r\n"
                           "half",
                       {},
                       then::close}};
    });
    site s("non_idempotent", {cuts});
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 502);
}

TEST_CASE("a resumable stream goes on elsewhere without gap or repeat",
          "[gateway]")
{
    const auto stream = warm([](const seen_request& r) -> script {
        const auto after = r.head.header("Last-Event-Id");
        if (after.empty())
            return {{stream_head(r) + event(1) + event(2) + "id: 3\nda",
                     {},
                     then::go_on},
                    {"", 5ms, then::reset}};
        if (after != "2")
            return {{whole_answer(400, {id_of(r)}, "wrong place"),
                     {},
                     then::go_on}};
        return {{stream_head(r) + event(3), {}, then::go_on},
                {event(4), 2ms, then::close}};
    });
    site s("streaming", {stream, stream}, true);
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2) + event(3) + event(4));
}

TEST_CASE("a stream that may not be resumed looks cut when it breaks",
          "[gateway]")
{
    const auto stream = warm([](const seen_request& r) -> script {
        return {{stream_head(r) + event(1), {}, then::go_on},
                {"", 5ms, then::reset}};
    });
    site s("streaming", {stream, stream}, false);
    const auto a = s.ask(site::request("id1", "Content-Length: 0\r\n", "POST"));
    CHECK(a.head.status == 200);
    CHECK_FALSE(a.complete);
    CHECK(a.body == event(1));
    CHECK(s.runs == 1);
}

TEST_CASE("the leaving of a caller is passed on to the target", "[gateway]")
{
    std::promise<void> reached;
    std::atomic<bool> told{false};
    site s("non_idempotent", {warm([&](const seen_request& r) {
               if (!told.exchange(true))
                   reached.set_value();
               auto answer = good(r);
               answer.front().delay = 60s;
               return answer;
           })});
    caller c(s.callers_port());
    c.send(site::request("id1", "Content-Length: 0\r\n", "POST"));
    reached.get_future().wait();
    c.leave();
    const auto until = std::chrono::steady_clock::now() + patience;
    while (s.left == 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    CHECK(s.left == 1);
}

TEST_CASE("a new configuration comes into force, also after a lost history",
          "[gateway]")
{
    site s("idempotent", {warm([](const seen_request& r) { return good(r); })});
    CHECK(s.ask(site::request("id1")).head.status == 200);
    s.change([](platform_store& store) {
        store.compact();
        store.put("op/config",
                  site::config("idempotent", false, 2, 5, "/other/"));
    });
    const auto until = std::chrono::steady_clock::now() + patience;
    int status = 200;
    while (status == 200 && std::chrono::steady_clock::now() < until)
        status = s.ask(site::request("id2")).head.status;
    CHECK(status == 404);
}

TEST_CASE("requests are served while the store is down", "[gateway]")
{
    site s("idempotent", {warm([](const seen_request& r) { return good(r); })});
    s.change([](platform_store& store) { store.set_down(true); });
    for (int i = 0; i < 5; ++i) {
        CHECK(s.ask(site::request("id" + std::to_string(i))).head.status ==
              200);
        std::this_thread::sleep_for(20ms);
    }
}

TEST_CASE("a stop lets the request in flight end", "[gateway]")
{
    std::promise<void> reached;
    site s("non_idempotent", {warm([&](const seen_request& r) {
               reached.set_value();
               auto answer = good(r, "in time");
               answer.front().delay = 300ms;
               return answer;
           })});
    caller c(s.callers_port());
    c.send(site::request("id1", "Content-Length: 0\r\n", "POST"));
    reached.get_future().wait();
    std::thread stopper([&] { s.stop(); });
    const auto a = c.read();
    CHECK(a.head.status == 200);
    CHECK(a.body == "in time");
    CHECK(a.head.header("Connection") == "close");
    stopper.join();
}

TEST_CASE("what is no request is refused, and nothing reaches a target",
          "[gateway]")
{
    site s("idempotent", {warm([](const seen_request& r) { return good(r); })});
    CHECK(s.ask("GET /p/x HTTP/1.1\r\nHost: h\r\n\r\n").head.status == 400);
    CHECK(s.ask("POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .head.status == 400);
    CHECK(s.ask("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
                "Content-Length: 99999999\r\n\r\nabc")
              .head.status == 413);
    CHECK(s.ask("GET /none HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n")
              .head.status == 404);
    CHECK(s.runs == 0);
}
