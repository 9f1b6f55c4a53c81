#ifndef LOVAGEGATE_TESTS_FUZZ_ORACLE_HPP
#define LOVAGEGATE_TESTS_FUZZ_ORACLE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "tests/sim/site.hpp"
#include "tests/sim/world.hpp"

#include <map>
#include <string>

namespace lovagegate::fuzz {

/// The simplest model of what operators declared: of each object the state
/// with the highest number.
class oracle
{
public:
    explicit oracle(std::size_t engines) : engines_(engines) {}

    void adapter_changed(ticket_number n, std::size_t adapter,
                         std::size_t versions)
    {
        change(adapters_[adapter], n, versions);
    }

    void target_changed(ticket_number n, std::size_t place, bool leaving)
    {
        change(leaving_[place], n, leaving);
    }

    /// @return whether a healthy fleet completes a draft on the adapter
    [[nodiscard]] bool draft_runs(std::size_t adapter) const
    {
        const auto found = adapters_.find(adapter);
        const bool known = found == adapters_.end() || found->second.value != 0;
        return known && serving(0, engines_);
    }

    /// @return whether a healthy fleet completes a sign-off
    [[nodiscard]] bool signoff_runs(std::size_t plain_targets) const
    {
        return serving(engines_, engines_ + plain_targets);
    }

private:
    template <typename Value>
    struct declared
    {
        ticket_number number = 1; ///< everything is in the first ticket
        Value value{};
    };

    template <typename Value>
    static void change(declared<Value>& d, ticket_number n, Value value)
    {
        if (n > d.number) {
            d = {n, value};
        }
    }

    [[nodiscard]] bool serving(std::size_t from, std::size_t to) const
    {
        for (std::size_t place = from; place < to; ++place) {
            const auto found = leaving_.find(place);
            if (found == leaving_.end() || !found->second.value) {
                return true;
            }
        }
        return false;
    }

    std::size_t engines_;
    std::map<std::size_t, declared<std::size_t>> adapters_;
    std::map<std::size_t, declared<bool>> leaving_;
};

} // namespace lovagegate::fuzz

#endif
