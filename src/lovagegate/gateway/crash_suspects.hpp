#ifndef LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP
#define LOVAGEGATE_GATEWAY_CRASH_SUSPECTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagegate::gateway {

/// Counts the engines that crashed while they ran a request, told by path and
/// body. The third crash ends the request for all instances.
class crash_suspects
{
public:
    /// @return what a repeat of the request has in common with it
    [[nodiscard]] static fingerprint of(std::string_view method,
                                        std::string_view path,
                                        std::string_view body) noexcept;

    /// An engine crashed with the request on it.
    /// @param engine with the time of its start, so that one crash that two
    ///        instances report counts once
    void on_crash(fingerprint request, std::string_view engine, time_point now);

    /// The request was answered: it is harmless.
    void on_answer(fingerprint request);

    /// @return whether the request must not be sent any more
    [[nodiscard]] bool is_blocked(fingerprint request, time_point now) const;

    /// Forgets what is old.
    void expire(time_point now);

private:
    struct suspect
    {
        std::vector<std::string> engines;
        time_point last{};
    };

    std::unordered_map<fingerprint, suspect> suspects_;
};

} // namespace lovagegate::gateway

#endif
