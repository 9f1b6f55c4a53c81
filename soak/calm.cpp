#include "soak/calm.hpp"

#include <algorithm>

namespace lovagegate::soak {

void calm_record::disturb(time_point from, time_point until)
{
    faults_.push_back({from, until});
}

bool calm_record::is_calm(time_point from, time_point until) const
{
    return std::ranges::none_of(faults_, [&](const interval& f) {
        return f.from <= until && f.until >= from;
    });
}

} // namespace lovagegate::soak
