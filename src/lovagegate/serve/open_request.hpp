#ifndef LOVAGEGATE_SERVE_OPEN_REQUEST_HPP
#define LOVAGEGATE_SERVE_OPEN_REQUEST_HPP

#include "lovagegate/net/http_exchange.hpp"
#include "lovagegate/serve/request_reader.hpp"

#include <string>

namespace lovagegate::serve {

/// A caller's request that has no outcome yet.
struct open_request
{
    local_id id = 0;
    net::exchange_ptr exchange;
    checked_request request;
    std::string x_request_id; ///< sent by the caller or generated here
    time_point received{};
    priority importance = priority::normal;
};

} // namespace lovagegate::serve

#endif
