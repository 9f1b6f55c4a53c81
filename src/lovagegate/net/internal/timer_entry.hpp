#ifndef LOVAGEGATE_NET_INTERNAL_TIMER_ENTRY_HPP
#define LOVAGEGATE_NET_INTERNAL_TIMER_ENTRY_HPP

#include "lovagegate/net/event_loop.hpp"

#include <libwebsockets.h>

namespace lovagegate::net::internal {

/// One pending timer. The library's list element comes first, so that its
/// address is the address of the entry.
struct timer_entry
{
    lws_sorted_usec_list_t sul{};
    event_loop* loop = nullptr;
    timer_id id = 0;
    event_loop::task fn;

    /// Called by the library when the timer expires.
    static void expired(lws_sorted_usec_list_t* sul)
    {
        auto* entry = reinterpret_cast<timer_entry*>(sul);
        entry->loop->fire(entry->id);
    }
};

} // namespace lovagegate::net::internal

#endif
