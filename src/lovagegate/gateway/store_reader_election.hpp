#ifndef LOVAGEGATE_GATEWAY_STORE_READER_ELECTION_HPP
#define LOVAGEGATE_GATEWAY_STORE_READER_ELECTION_HPP

#include "lovagegate/gateway/member_table.hpp"

namespace lovagegate::gateway {

/// Decides whether this instance reads the platform's store. Two instances
/// read it and tell the others what has changed, so that calls to the store
/// don't grow with the fleet. An instance that hears of no other reads for
/// itself.
/// @return whether this instance is one of the readers
[[nodiscard]] bool is_store_reader(const member_table& members, time_point now);

/// @return whether this instance is the reader that tells the others; they
///         ask the second one for what they miss
[[nodiscard]] bool is_news_sender(const member_table& members, time_point now);

} // namespace lovagegate::gateway

#endif
