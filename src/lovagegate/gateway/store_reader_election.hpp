#ifndef LOVAGEGATE_GATEWAY_STORE_READER_ELECTION_HPP
#define LOVAGEGATE_GATEWAY_STORE_READER_ELECTION_HPP

#include "lovagegate/gateway/member_table.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Decides whether this instance reads the platform's store. Two instances read
/// it, and changes are sent to the others, so that the number of store calls
/// doesn't grow with the fleet. An instance that knows no other reads the store
/// itself.
/// @return whether this instance is one of the readers
[[nodiscard]] bool is_store_reader(const member_table& members, time_point now);

/// @return number of live instances that send keepalives before this reader,
/// or, if
///         this instance isn't a reader, that take over before it
[[nodiscard]] std::size_t instances_before(const member_table& members,
                                           time_point now);

/// @return whether another instance comes before this one; false if it isn't
///         known
[[nodiscard]] bool comes_before(const member_table& members,
                                std::string_view address);

/// @return addresses of the other instances that are the next to read the store
///         if this one doesn't, best first
[[nodiscard]] std::vector<std::string>
next_store_readers(const member_table& members, time_point now);

/// @return whether this instance is the reader that sends changes to the
///         others; they request missed changes from the second reader
[[nodiscard]] bool is_news_sender(const member_table& members, time_point now);

} // namespace lovagegate::gateway

#endif
