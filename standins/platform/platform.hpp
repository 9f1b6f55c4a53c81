#ifndef LOVAGEGATE_STANDINS_PLATFORM_PLATFORM_HPP
#define LOVAGEGATE_STANDINS_PLATFORM_PLATFORM_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_server.hpp"
#include "standins/common/process.hpp"
#include "standins/platform/versioned_page.hpp"

#include <map>
#include <string>

namespace lovagegate::standins {

struct platform_options
{
    process_options process;
    /// How late the instance list shows a change.
    duration list_lag = 0s;
};

/// Stand-in for the configuration service and the instance list. Scripts
/// write to it by PUT; lovagegate only reads.
class platform
{
public:
    explicit platform(const platform_options& options);

    /// Serves until the process is told to end.
    void run();

private:
    void on_request(const net::exchange_ptr& e);
    bool route_admin(const net::exchange_ptr& e);
    void put_ticket(net::exchange& e);
    void put_instances(net::exchange& e);
    void set_mode(net::exchange& e);

    platform_options options_;
    net::event_loop loop_;
    versioned_page tickets_;
    versioned_page instances_;
    std::map<std::string, std::string> raw_tickets_;
    net::http_server server_;
};

} // namespace lovagegate::standins

#endif
