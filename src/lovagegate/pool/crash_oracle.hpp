#ifndef LOVAGEGATE_POOL_CRASH_ORACLE_HPP
#define LOVAGEGATE_POOL_CRASH_ORACLE_HPP

#include "lovagegate/core/identifiers.hpp"

#include <concepts>

namespace lovagegate::pool {

/// Knows which requests broke targets.
template <typename T>
concept crash_oracle = requires(const T& t, fingerprint print)
{
    {
        t.is_quarantined(print)
        } -> std::convertible_to<bool>;
    {
        t.is_suspected(print)
        } -> std::convertible_to<bool>;
};

/// Refers to any crash oracle, which must outlive it.
class crash_oracle_ref
{
public:
    /// @param oracle outlives this object
    template <crash_oracle T>
    crash_oracle_ref(const T& oracle) noexcept
        : oracle_(&oracle), quarantined_([](const void* o, fingerprint p) {
              return bool(static_cast<const T*>(o)->is_quarantined(p));
          }),
          suspected_([](const void* o, fingerprint p) {
              return bool(static_cast<const T*>(o)->is_suspected(p));
          })
    {
    }

    /// @return whether requests with the fingerprint are refused
    [[nodiscard]] bool is_quarantined(fingerprint print) const
    {
        return quarantined_(oracle_, print);
    }

    /// @return whether requests with the fingerprint run one at a time
    [[nodiscard]] bool is_suspected(fingerprint print) const
    {
        return suspected_(oracle_, print);
    }

private:
    const void* oracle_;
    bool (*quarantined_)(const void*, fingerprint);
    bool (*suspected_)(const void*, fingerprint);
};

/// An oracle that knows of no crash.
struct no_crashes
{
    [[nodiscard]] static bool is_quarantined(fingerprint) { return false; }
    [[nodiscard]] static bool is_suspected(fingerprint) { return false; }
};

} // namespace lovagegate::pool

#endif
