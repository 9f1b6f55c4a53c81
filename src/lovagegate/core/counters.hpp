#ifndef LOVAGEGATE_CORE_COUNTERS_HPP
#define LOVAGEGATE_CORE_COUNTERS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lovagegate {

/// Named counters of one instance. Names are Prometheus names without the
/// project's prefix; a label goes into braces: refusals{reason="queue_full"}.
class counters
{
public:
    /// @param counter name of the counter
    /// @param by increment
    void add(std::string_view counter, std::uint64_t by = 1);

    /// Adds one to a counter with one label.
    void add(std::string_view counter, std::string_view label,
             std::string_view value);

    /// @return the value of the counter, 0 if it was never incremented
    [[nodiscard]] std::uint64_t count(std::string_view counter) const;

    /// @return all counters by name
    [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
    all() const noexcept
    {
        return counts_;
    }

private:
    std::map<std::string, std::uint64_t, std::less<>> counts_;
};

} // namespace lovagegate

#endif
