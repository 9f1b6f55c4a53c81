#ifndef LOVAGEGATE_NET_ERRORS_HPP
#define LOVAGEGATE_NET_ERRORS_HPP

#include "lovagegate/core/error.hpp"

namespace lovagegate::net {

/// Base class of the errors of the network layer.
class net_error : public error
{
public:
    using error::error;
};

/// The event loop could not be created.
class context_error : public net_error
{
public:
    using net_error::net_error;
};

/// An address could not be bound.
class bind_error : public net_error
{
public:
    using net_error::net_error;
};

/// A header name or value contains a character that HTTP does not allow, or the
/// head exceeds the size limit.
class header_error : public net_error
{
public:
    using net_error::net_error;
};

} // namespace lovagegate::net

#endif
