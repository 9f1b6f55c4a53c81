#include "tests/gateway/site_fixture.hpp"

#include <mutex>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

/// Records what the target has seen; used by two threads.
class recording_target
{
public:
    site::target_script script_for()
    {
        return with_warm_up([this](const seen_request& r) {
            if (is_report(r))
                return report_answer(R"(["a0@1"])");
            const std::lock_guard lock(mutex_);
            last_ = r;
            return signed_answer(r, 200, "fine");
        });
    }
    seen_request last()
    {
        const std::lock_guard lock(mutex_);
        return last_;
    }

private:
    std::mutex mutex_;
    seen_request last_;
};

site_description with_workspaces(std::vector<workspace_description> all)
{
    site_description d;
    d.workspaces = std::move(all);
    return d;
}

} // namespace

TEST_CASE("a request with a key reaches its target with the workspace's name "
          "and priority, without the key",
          "[gateway]")
{
    recording_target target;
    auto d = with_workspaces({{"a", "key-a", 8}, {"b", "key-b"}});
    d.engines = true;
    site s(d, {target.script_for()});
    const auto ask = [&](const std::string& key) {
        return s
            .ask(request_text("id1", key_header(key) +
                                         workspace_header("forged") +
                                         adapter_header("a0")))
            .head.status;
    };
    while (ask("key-a") != 200) // until the instance owns the engine
        std::this_thread::sleep_for(20ms);
    CHECK(workspace_of(target.last()) == "a;");
    CHECK(priority_of(target.last()) == "8");
    CHECK_FALSE(has_key(target.last()));
    CHECK(ask("key-b") == 200);
    CHECK(workspace_of(target.last()) == "b;");
    CHECK(priority_of(target.last()) == "1"); // of the route
}

TEST_CASE("a request without exactly one known key gets 401 before anything "
          "else is counted or sent",
          "[gateway]")
{
    site s(with_workspaces({{"a", "key-a"}}),
           {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "");
           })});
    const double requests = s.metric("requests_total");
    const std::string key = key_header("key-a");
    const auto status = [&](const std::string& headers) {
        const auto a = s.ask(request_text("id1", headers));
        CHECK(a.body.find("key-") == std::string::npos);
        CHECK(attempt_id(a.head) == "id1");
        return a.head.status;
    };
    CHECK(status("") == 401);
    CHECK(status(key_header("")) == 401);
    CHECK(status(key_header("key-b")) == 401);
    CHECK(status(key_header("KEY-A")) == 401);
    CHECK(status(key + key) == 401);
    CHECK(status(key_header(std::string(12'000, 'x'))) == 401);
    CHECK(s.ask(request_text("id1", key_header(std::string(65'536, 'x'))))
              .head.status >= 413);
    // An unknown route takes precedence.
    CHECK(s.ask("GET /none HTTP/1.1\r\nHost: h\r\n\r\n").head.status == 404);
    CHECK(s.runs == 0);
    CHECK(s.metric("requests_total") == requests);
    CHECK(s.metric("key_refusals_total{reason=\"unknown\"}") == 3);
    CHECK(s.metric("key_refusals_total{reason=\"missing\"}") == 2);
    CHECK(s.metric("key_refusals_total{reason=\"repeated\"}") == 1);
    CHECK(status(key) == 200);
}

TEST_CASE("an anonymous route serves any caller, and never under a name that "
          "the caller gives",
          "[gateway]")
{
    recording_target target;
    auto d = with_workspaces({{"a", "key-a"}});
    d.anonymous = true;
    site s(d, {target.script_for()});
    for (const std::string& key : {std::string(), key_header("key-b"),
                                   key_header("key-a") + key_header("key-a")}) {
        CHECK(s.ask(request_text("id1", key + workspace_header("forged")))
                  .head.status == 200);
        CHECK(workspace_of(target.last()).empty());
        CHECK_FALSE(has_key(target.last()));
    }
    CHECK(s.ask(request_text("id1", key_header("key-a"))).head.status == 200);
    CHECK(workspace_of(target.last()) == "a;");
}

TEST_CASE("keys are added and removed by a new version on an open connection, "
          "and a faulty version changes nothing",
          "[gateway]")
{
    auto d = with_workspaces({{"a", "key-a"}});
    site s(d, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "");
           })});
    caller c(s.callers_port());
    const auto status = [&](const std::string& key) {
        c.send(request_text("id1", key_header(key)));
        return c.read().head.status;
    };
    const auto publish = [&](std::vector<workspace_description> all) {
        d.workspaces = std::move(all);
        ++d.version;
        s.change(
            [&](platform_store& store) { store.put_config(config_text(d)); });
    };
    CHECK(status("key-a") == 200);
    CHECK(status("key-b") == 401);
    publish({{"a", "key-b"}, {"b", "key-b"}});
    while (s.metric("config_unreadable_total") == 0)
        std::this_thread::sleep_for(10ms);
    CHECK(status("key-a") == 200);
    // The head of this request is complete while its key is in force.
    caller slow(s.callers_port());
    slow.send(request_text("id2", key_header("key-a") + "Content-Length: 1\r\n",
                           "POST"));
    for (int i = 0; i < 2; ++i) // until the gateway has read it
        CHECK(status("key-a") == 200);
    publish({{"a", "key-b"}});
    while (status("key-b") != 200)
        std::this_thread::sleep_for(10ms);
    CHECK(status("key-a") == 401);
    slow.send("x");
    CHECK(slow.read().head.status == 200);
}

TEST_CASE("an unknown key gets 503 once the store has been out of contact for "
          "so long that the key may be new",
          "[gateway]")
{
    site s(with_workspaces({{"a", "key-a"}}),
           {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "");
           })});
    const auto status = [&](const std::string& key) {
        return s.ask(request_text("id1", key_header(key))).head.status;
    };
    CHECK(status("key-b") == 401);
    s.change([](platform_store& store) { store.set_down(true); });
    while (status("key-b") != 503)
        std::this_thread::sleep_for(50ms);
    CHECK(status("key-a") == 200);
    CHECK(status("") == 401);
}
