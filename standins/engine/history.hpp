#ifndef LOVAGEGATE_STANDINS_ENGINE_HISTORY_HPP
#define LOVAGEGATE_STANDINS_ENGINE_HISTORY_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lovagegate::standins {

/// What happened on a target, for the checker: the newest events.
class history
{
public:
    /// @param event start, finish, cancel, crash, load, unload or refuse
    /// @param request id of the request, or empty
    /// @param adapter the adapter concerned, or empty
    void add(std::string_view event, std::string_view request,
             std::string_view adapter);

    /// @return {"counts": {EVENT: n}, "events": [{ms, event, request,
    /// adapter}]}
    [[nodiscard]] nlohmann::json page() const;

private:
    static constexpr std::size_t most_events = 200'000;

    std::deque<nlohmann::json> events_;
    nlohmann::json counts_ = nlohmann::json::object();
};

} // namespace lovagegate::standins

#endif
