#include "lovagegate/core/counters.hpp"

namespace lovagegate {

void counters::add(std::string_view counter, std::uint64_t by)
{
    const auto it = counts_.find(counter);
    if (it != counts_.end())
        it->second += by;
    else
        counts_.emplace(std::string(counter), by);
}

void counters::add(std::string_view counter, std::string_view label,
                   std::string_view value)
{
    std::string key(counter);
    key.append("{").append(label).append("=\"").append(value).append("\"}");
    add(key);
}

std::uint64_t counters::count(std::string_view counter) const
{
    const auto it = counts_.find(counter);
    return it == counts_.end() ? 0 : it->second;
}

} // namespace lovagegate
