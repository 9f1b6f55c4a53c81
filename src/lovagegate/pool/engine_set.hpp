#ifndef LOVAGEGATE_POOL_ENGINE_SET_HPP
#define LOVAGEGATE_POOL_ENGINE_SET_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/pool/engine.hpp"
#include "lovagegate/ticket/model.hpp"

#include <map>
#include <vector>

namespace lovagegate::pool {

/// The engines of a pool. Indices stay valid: an engine that no ticket declares
/// any longer is marked as removed, not erased.
class engine_set
{
public:
    /// @param targets the engines that the tickets in force declare
    void set_targets(const std::map<target_id, ticket::target>& targets);

    /// @return index of an engine; no_engine if it is unknown
    [[nodiscard]] engine_index find(const target_id& id) const;
    [[nodiscard]] engine& at(engine_index index) { return engines_[index]; }
    [[nodiscard]] const engine& at(engine_index index) const
    {
        return engines_[index];
    }
    [[nodiscard]] engine_index size() const noexcept
    {
        return static_cast<engine_index>(engines_.size());
    }

    /// @return whether a usable engine holds the adapter
    [[nodiscard]] bool resident(adapter_key adapter) const;
    /// @return number of usable engines that hold the adapter or have a pending
    /// load of it
    [[nodiscard]] std::size_t copies(adapter_key adapter) const;
    /// @return whether a usable engine has a pending load of the adapter
    [[nodiscard]] bool has_pending_load(adapter_key adapter) const;
    /// @return whether any engine is usable or may become usable with a report
    [[nodiscard]] bool any_may_become_usable() const;
    /// @return number of adapter slots of all declared engines
    [[nodiscard]] std::size_t slots() const;

    [[nodiscard]] auto begin() { return engines_.begin(); }
    [[nodiscard]] auto end() { return engines_.end(); }
    [[nodiscard]] auto begin() const { return engines_.begin(); }
    [[nodiscard]] auto end() const { return engines_.end(); }

private:
    std::vector<engine> engines_;
    std::map<target_id, engine_index> indices_;
};

} // namespace lovagegate::pool

#endif
