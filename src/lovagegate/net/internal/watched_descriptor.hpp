#ifndef LOVAGEGATE_NET_INTERNAL_WATCHED_DESCRIPTOR_HPP
#define LOVAGEGATE_NET_INTERNAL_WATCHED_DESCRIPTOR_HPP

#include "lovagegate/net/event_loop.hpp"

struct lws;

namespace lovagegate::net::internal {

/// Gets the events of one descriptor.
class descriptor_handler
{
public:
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
    /// The peer reset the connection; the descriptor is gone.
    virtual void on_hang_up() = 0;

protected:
    ~descriptor_handler() = default;
};

/// One descriptor that the loop polls. The library closes the descriptor, at
/// the latest when the loop ends.
class watched_descriptor
{
public:
    /// Takes over the descriptor.
    /// @param loop outlives this object
    /// @param fd a non-blocking descriptor
    /// @param handler outlives this object
    /// @throws context_error if the library refuses; the descriptor is closed
    watched_descriptor(event_loop& loop, int fd, descriptor_handler& handler);
    ~watched_descriptor();
    watched_descriptor(const watched_descriptor&) = delete;
    watched_descriptor& operator=(const watched_descriptor&) = delete;

    /// @return the descriptor, -1 once it is closed
    [[nodiscard]] int fd() const noexcept;

    /// Asks for one call of on_writable().
    void request_writable();

    /// Starts or stops calls of on_readable().
    void watch_readable(bool on);

private:
    struct registration;
    registration* registration_;
};

} // namespace lovagegate::net::internal

#endif
