#ifndef LOVAGEGATE_SERVE_OPEN_REQUEST_HPP
#define LOVAGEGATE_SERVE_OPEN_REQUEST_HPP

#include "lovagegate/net/http_exchange.hpp"
#include "lovagegate/serve/request_reader.hpp"

#include <string>

namespace lovagegate::serve {

/// One open request of a caller.
struct open_request
{
    local_id id = 0;
    net::exchange_ptr exchange;
    checked_request request;
    std::string x_request_id; ///< the caller's X-Request-Id, or one made here
    time_point received{};
    priority importance = priority::normal;
};

} // namespace lovagegate::serve

#endif
