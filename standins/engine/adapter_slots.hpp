#ifndef LOVAGEGATE_STANDINS_ENGINE_ADAPTER_SLOTS_HPP
#define LOVAGEGATE_STANDINS_ENGINE_ADAPTER_SLOTS_HPP

#include "lovagegate/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagegate::standins {

/// How an engine answers an order.
enum class order_answer : std::uint8_t
{
    done,
    stale_token,    ///< a higher fencing token came before
    already_loaded, ///< or being loaded
    not_loaded,
    no_free_slot,
};

/// The adapters that an engine holds, and how many requests use each.
class adapter_slots
{
public:
    /// @param slots adapters held at once, those being loaded included
    /// @param check_fencing whether orders with an old token are refused
    adapter_slots(std::size_t slots, bool check_fencing)
        : slots_(slots), check_fencing_(check_fencing)
    {
    }

    /// Reserves a slot; loaded() or load_failed() must follow.
    order_answer begin_load(const std::string& name, fencing_token token);
    /// @return false when the load was forgotten by clear()
    bool loaded(const std::string& name);
    void load_failed(const std::string& name);

    /// Drops an adapter, in use or not, as the published endpoint does.
    order_answer unload(const std::string& name, fencing_token token);

    /// Forgets all adapters, as a restart does; the highest token stays
    /// unknown to the new run.
    void clear();

    [[nodiscard]] bool holds(const std::string& name) const;

    /// A request on the adapter starts to run or wait.
    void use(const std::string& name) { ++users_[name]; }
    void release(const std::string& name);

    /// @return names of the adapters that are loaded
    [[nodiscard]] std::vector<std::string> resident() const;
    /// @return evictions of an adapter that a request was using
    [[nodiscard]] std::uint64_t evicted_in_use() const noexcept
    {
        return evicted_in_use_;
    }
    [[nodiscard]] fencing_token highest_token() const noexcept
    {
        return highest_token_;
    }

private:
    bool accepts(fencing_token token);

    std::size_t slots_;
    bool check_fencing_;
    std::map<std::string, bool> adapters_; ///< name to "is loaded"
    std::map<std::string, std::size_t> users_;
    std::uint64_t evicted_in_use_ = 0;
    fencing_token highest_token_ = 0;
};

} // namespace lovagegate::standins

#endif
