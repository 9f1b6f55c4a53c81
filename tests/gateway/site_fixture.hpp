#ifndef LOVAGEGATE_TESTS_GATEWAY_SITE_FIXTURE_HPP
#define LOVAGEGATE_TESTS_GATEWAY_SITE_FIXTURE_HPP

#include "lovagegate/gateway/gateway_daemon.hpp"
#include "lovagegate/logging/log.hpp"
#include "lovagegate/net/errors.hpp"
#include "standins/site/dialect.hpp"
#include "standins/site/platform_store.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <exception>
#include <functional>
#include <future>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lovagegate::gateway_test {

using namespace lovagegate::standins;

/// Longer than any operation takes on a busy machine; only failing tests wait
/// this long.
constexpr auto max_wait = 20s;

/// Holds a port of 127.0.0.1 on which nothing listens, so that no other process
/// can listen on it.
class closed_port
{
public:
    closed_port() : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a);
        socklen_t size = sizeof a;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
        number_ = ntohs(a.sin_port);
    }
    ~closed_port() { ::close(fd_); }
    closed_port(const closed_port&) = delete;
    closed_port& operator=(const closed_port&) = delete;
    [[nodiscard]] std::uint16_t number() const { return number_; }

private:
    int fd_;
    std::uint16_t number_ = 0;
};

/// @return a port that was free; another process can take it at any time
inline std::uint16_t free_port()
{
    return closed_port().number();
}

/// Connection of a caller, with blocking calls.
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
        const timeval limit{max_wait.count(), 0};
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

/// Marks the requests that the fixture itself sends.
inline constexpr const char* warm_up_header = "X-Test: 1\r\n";

/// Gateway settings that a test can choose.
struct gateway_limits
{
    duration stop_grace = 2s; ///< short, so that tests end soon
    double retry_ratio = 0.2;
    double retry_slack = 50;
    duration retry_window = gateway::boot_settings{}.retry_window;
    /// Returns a port for the gateway, first callers, readiness, control, peers
    /// and metrics. If one is taken, the gateway is started with other ports.
    std::function<std::uint16_t()> next_port = free_port;
    std::vector<settings::endpoint> seeds{};
    /// Called by the gateway's thread when it reads its settings again.
    std::function<void()> on_reload = [] {};
};

/// Starts of the gateway until a start on ports that are taken is an error.
constexpr int max_starts = 20;

/// Runs the gateway between a caller, a store and scripted targets.
class site
{
public:
    using target_script = std::function<script(const seen_request&)>;

    site(const site_description& description,
         std::vector<target_script> targets, gateway_limits limits = {})
        : limits_(limits), warm_up_headers_(warm_up_header)
    {
        if (!description.workspaces.empty())
            warm_up_headers_ += key_header(description.workspaces.front().key);
        std::promise<void> ready;
        standins_thread_ = std::thread([&, this] {
            net::event_loop loop;
            platform_store store(loop);
            std::vector<std::unique_ptr<scripted_server>> servers;
            for (std::size_t i = 0; i < targets.size(); ++i) {
                servers.push_back(std::make_unique<scripted_server>(
                    loop, counted(targets[i])));
                servers.back()->on_left = [this] { ++left; };
                target_ports_.push_back(servers.back()->port());
                servers.back()->on_written = [this](std::size_t bytes) {
                    written += bytes;
                };
                store.put_target("i-" + std::to_string(i),
                                 entry_text(servers.back()->port()));
            }
            store.put_config(config_text(description));
            store_ = &store;
            loop_ = &loop;
            store_port_ = store.port();
            ready.set_value();
            loop.run();
        });
        ready.get_future().wait();
        try {
            start_gateway();
        } catch (...) {
            end_standins();
            throw;
        }
    }

    ~site()
    {
        stop();
        end_standins();
    }
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    caller::answer ask(const std::string& bytes)
    {
        caller c(callers_port_);
        c.send(bytes);
        return c.read();
    }

    /// Changes the store, on the thread on which it runs.
    void change(const std::function<void(platform_store&)>& fn)
    {
        std::promise<void> done;
        loop_->post([&] {
            fn(*store_);
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Publishes the target's entry with a new start time.
    void publish_restart(std::size_t target, std::int64_t start)
    {
        change([&](platform_store& store) {
            store.put_target("i-" + std::to_string(target),
                             entry_text(target_ports_.at(target), start));
        });
    }

    /// Removes the target's entry, as if it had expired.
    void unlist(std::size_t target)
    {
        change([&](platform_store& store) {
            store.remove_target("i-" + std::to_string(target));
        });
    }

    /// Publishes the target's entry with a port on which nothing listens.
    void publish_unreachable(std::size_t target)
    {
        change([&](platform_store& store) {
            store.put_target("i-" + std::to_string(target),
                             entry_text(unreachable_.number()));
        });
    }

    /// Makes the gateway read its settings again.
    void reload() { daemon_->reload(); }

    void stop()
    {
        if (!gateway_thread_.joinable())
            return;
        daemon_->stop();
        gateway_thread_.join();
    }

    [[nodiscard]] std::uint16_t callers_port() const { return callers_port_; }

    /// @param name of a gauge or counter without labels
    /// @return its value on the gateway's metrics page
    [[nodiscard]] double metric(const std::string& name) const
    {
        caller c(metrics_port_);
        c.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string page = "\n" + c.read().body;
        const auto at = page.find("\nlovagegate_" + name + ' ');
        return at == std::string::npos
                   ? 0
                   : std::stod(page.substr(page.find(' ', at)));
    }

    std::atomic<int> runs{0};
    std::atomic<int> left{0};
    std::atomic<std::size_t> written{0}; ///< bytes written by the targets

private:
    target_script counted(const target_script& fn)
    {
        return [this, fn](const seen_request& r) {
            ++runs;
            return fn(r);
        };
    }

    void start_gateway()
    {
        logging::configure(settings::log_level::error);
        gateway::boot_settings s;
        s.instance = "n1";
        s.address = "127.0.0.1";
        s.failure_domain = "z";
        s.store = {"127.0.0.1", store_port_};
        s.first_start = true;
        s.owners_admit_requests = true;
        s.seeds = limits_.seeds;
        s.stop_grace = limits_.stop_grace;
        s.retry_ratio = limits_.retry_ratio;
        s.retry_slack = limits_.retry_slack;
        s.retry_window = limits_.retry_window;
        for (int starts = 1; !run_gateway(s, starts == max_starts); ++starts) {
        }
        // Waits until the gateway knows the configuration and the targets.
        for (;;) {
            const auto a = ask(request_text("warm-up", warm_up_headers_));
            if (a.head.status != 503)
                break;
            std::this_thread::sleep_for(10ms);
        }
        runs = 0;
        left = 0;
    }

    /// Runs the gateway on its own thread.
    /// @param last whether to throw if the ports are taken
    /// @return false if one of the ports was taken
    bool run_gateway(gateway::boot_settings s, bool last)
    {
        s.callers = {"127.0.0.1", callers_port_ = limits_.next_port()};
        s.readiness = {"127.0.0.1", limits_.next_port()};
        s.control = {"127.0.0.1", limits_.next_port()};
        s.peer_port = limits_.next_port();
        s.metrics_port = metrics_port_ = limits_.next_port();
        std::promise<void> made;
        gateway_thread_ = std::thread([this, s, &made] {
            std::unique_ptr<gateway::gateway_daemon> daemon;
            try {
                daemon = std::make_unique<gateway::gateway_daemon>(
                    s, [s, on_reload = limits_.on_reload] {
                        on_reload();
                        return s;
                    });
            } catch (...) {
                made.set_exception(std::current_exception());
                return;
            }
            daemon_ = daemon.get();
            made.set_value();
            daemon->run();
        });
        try {
            made.get_future().get();
            return true;
        } catch (const net::bind_error& e) {
            gateway_thread_.join();
            if (last)
                throw;
            UNSCOPED_INFO("started again: " << e.what());
            return false;
        } catch (...) {
            gateway_thread_.join();
            throw;
        }
    }

    void end_standins()
    {
        loop_->stop();
        standins_thread_.join();
    }

    gateway_limits limits_;
    std::string warm_up_headers_;
    closed_port unreachable_;
    std::thread standins_thread_;
    std::thread gateway_thread_;
    net::event_loop* loop_ = nullptr;
    platform_store* store_ = nullptr;
    gateway::gateway_daemon* daemon_ = nullptr;
    std::vector<std::uint16_t> target_ports_;
    std::uint16_t store_port_ = 0;
    std::uint16_t callers_port_ = 0;
    std::uint16_t metrics_port_ = 0;
};

/// Answers the fixture's own requests with success and all others by the given
/// function.
inline site::target_script with_warm_up(site::target_script fn)
{
    return [fn = std::move(fn)](const seen_request& r) {
        constexpr int ok = 200;
        return r.head.has("X-Test") ? signed_answer(r, ok, "fine") : fn(r);
    };
}

} // namespace lovagegate::gateway_test

#endif
