#include "lovagegate/gateway/news_relay.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace lovagegate::gateway {

std::vector<relay_group> make_relay_groups(const member_table& members,
                                           time_point now,
                                           std::mt19937_64& random)
{
    std::map<std::string, std::vector<std::string>> domains;
    std::size_t count = 0;
    for (const auto& [address, m] : members.all()) {
        if (!members.is_alive(m, now))
            continue;
        domains[m.record.failure_domain].push_back(address);
        ++count;
    }
    const std::size_t group_size =
        members.is_large() ? static_cast<std::size_t>(std::ceil(
                                 std::sqrt(static_cast<double>(count))))
                           : 1;
    std::vector<relay_group> out;
    for (auto& [domain, addresses] : domains) {
        std::ranges::shuffle(addresses, random);
        for (std::size_t i = 0; i < addresses.size(); ++i)
            if (i % group_size == 0)
                out.push_back({addresses[i], {}});
            else
                out.back().others.push_back(addresses[i]);
    }
    return out;
}

} // namespace lovagegate::gateway
