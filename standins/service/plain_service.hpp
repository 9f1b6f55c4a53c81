#ifndef LOVAGEGATE_STANDINS_SERVICE_PLAIN_SERVICE_HPP
#define LOVAGEGATE_STANDINS_SERVICE_PLAIN_SERVICE_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_server.hpp"
#include "standins/common/process.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace lovagegate::standins {

struct plain_service_options
{
    process_options process;
    std::string name = "service";
    /// Time that a call takes.
    duration delay = 5ms;
};

/// Stand-in for a plain service: GET /roster/..., POST /signoff and /press.
/// It counts the runs of each request id.
class plain_service
{
public:
    explicit plain_service(plain_service_options options);

    /// Serves until the process is told to end.
    void run();

private:
    void on_request(const net::exchange_ptr& e);
    bool route_admin(const net::exchange_ptr& e);
    void run_call(const net::exchange_ptr& e);

    plain_service_options options_;
    net::event_loop loop_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t total_runs_ = 0;
    std::uint64_t refuse_next_ = 0; ///< calls to refuse without running
    std::uint64_t drop_next_ = 0;   ///< calls to run and not answer
    net::http_server server_;
};

} // namespace lovagegate::standins

#endif
