#ifndef LOVAGEGATE_POOL_QUARANTINE_LOOKUP_HPP
#define LOVAGEGATE_POOL_QUARANTINE_LOOKUP_HPP

#include "lovagegate/core/identifiers.hpp"

#include <concepts>

namespace lovagegate::pool {

/// Looks up fingerprints that crashed targets.
template <typename T>
concept quarantine_lookup = requires(const T& t, fingerprint print)
{
    {
        t.is_quarantined(print)
        } -> std::convertible_to<bool>;
    {
        t.is_suspected(print)
        } -> std::convertible_to<bool>;
};

/// Type-erased reference to any quarantine lookup, which must outlive it.
class quarantine_lookup_ref
{
public:
    /// @param lookup outlives this object
    template <quarantine_lookup T>
    quarantine_lookup_ref(const T& lookup) noexcept
        : lookup_(&lookup), quarantined_([](const void* o, fingerprint p) {
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
        return quarantined_(lookup_, print);
    }

    /// @return whether requests with the fingerprint run one at a time
    [[nodiscard]] bool is_suspected(fingerprint print) const
    {
        return suspected_(lookup_, print);
    }

private:
    const void* lookup_;
    bool (*quarantined_)(const void*, fingerprint);
    bool (*suspected_)(const void*, fingerprint);
};

/// A lookup without any crash.
struct no_crashes
{
    [[nodiscard]] static bool is_quarantined(fingerprint) { return false; }
    [[nodiscard]] static bool is_suspected(fingerprint) { return false; }
};

} // namespace lovagegate::pool

#endif
