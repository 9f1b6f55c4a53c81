#ifndef LOVAGEGATE_NET_INTERNAL_WATCHED_DESCRIPTOR_HPP
#define LOVAGEGATE_NET_INTERNAL_WATCHED_DESCRIPTOR_HPP

#include "lovagegate/net/event_loop.hpp"

struct lws;

namespace lovagegate::net::internal {

/// Receives the events of one descriptor.
class descriptor_handler
{
public:
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
    /// Called when the peer reset the connection; the descriptor is closed.
    virtual void on_hang_up() = 0;

protected:
    ~descriptor_handler() = default;
};

/// One descriptor polled by the loop. libwebsockets closes the descriptor, at
/// the latest when the loop is destroyed.
class watched_descriptor
{
public:
    /// Takes ownership of the descriptor.
    /// @param loop must outlive this object
    /// @param fd a non-blocking descriptor
    /// @param handler must outlive this object
    /// @throws context_error if libwebsockets does not adopt the descriptor,
    /// which is then closed
    watched_descriptor(event_loop& loop, int fd, descriptor_handler& handler);
    ~watched_descriptor();
    watched_descriptor(const watched_descriptor&) = delete;
    watched_descriptor& operator=(const watched_descriptor&) = delete;

    /// @return the descriptor, or -1 once it is closed
    [[nodiscard]] int fd() const noexcept;

    /// Requests one call of on_writable().
    void request_writable();

    /// Enables or disables calls of on_readable().
    void watch_readable(bool on);

private:
    struct registration;
    registration* registration_;
};

} // namespace lovagegate::net::internal

#endif
