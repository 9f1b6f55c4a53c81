#ifndef LOVAGEGATE_GATEWAY_NEWS_ASSEMBLER_HPP
#define LOVAGEGATE_GATEWAY_NEWS_ASSEMBLER_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// Joins the parts of changes that were too large for one datagram. Parts may
/// be lost, repeated and arrive in any order, from several senders.
class news_assembler
{
public:
    /// @return the whole message, once its last missing part is added
    std::optional<store_changes> add(store_changes part, time_point now);

private:
    struct incomplete
    {
        std::vector<std::string> parts;
        std::size_t missing = 0;
        time_point since{};
    };

    void discard_oldest();

    std::map<fingerprint, incomplete> incomplete_; ///< by content
};

} // namespace lovagegate::gateway

#endif
