#ifndef LOVAGEGATE_CORE_IDENTIFIERS_HPP
#define LOVAGEGATE_CORE_IDENTIFIERS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lovagegate {

/// A strongly typed string: names with different tags are not interchangeable.
/// @tparam Tag kind of the named object
template <typename Tag>
class name
{
public:
    name() = default;
    explicit name(std::string text) : text_(std::move(text)) {}

    [[nodiscard]] const std::string& str() const noexcept { return text_; }
    [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

    friend auto operator<=>(const name&, const name&) = default;

private:
    std::string text_;
};

/// One lovagegate process, as named in the platform's instance list.
using instance_id = name<struct instance_tag>;
/// One engine or plain service endpoint, as named in a ticket.
using target_id = name<struct target_tag>;
/// A group of interchangeable targets, as named in a ticket.
using target_group = name<struct target_group_tag>;
/// A service that callers address, as named in a ticket.
using service_id = name<struct service_tag>;
/// A failure domain of the platform.
using failure_domain = name<struct failure_domain_tag>;
/// A pool: up to pool_size engines of one group that have one owner; see
/// placement/pool_map.hpp.
using pool_id = name<struct pool_tag>;
/// Chosen by a caller, so that repeats of its request are recognised.
using request_id = name<struct request_tag>;

/// One version of an adapter, as requests name it and engines hold it.
struct adapter_version
{
    std::string adapter;
    std::string version;

    friend auto operator<=>(const adapter_version&,
                            const adapter_version&) = default;
};

/// @return the name of the adapter on engines: ADAPTER@VERSION
[[nodiscard]] inline std::string to_string(const adapter_version& a)
{
    return a.adapter + '@' + a.version;
}

/// Identifies one start of a process or engine; a later start has a higher
/// number.
using incarnation = std::uint64_t;
/// Sent with orders to an engine; an engine that checks it refuses orders with
/// a lower token than the highest received.
using fencing_token = std::uint64_t;
/// Hash of service, adapter, version and body of a request.
using fingerprint = std::uint64_t;
/// Number of a request or lease within one incarnation of one instance.
using local_id = std::uint64_t;
/// Number of a change ticket.
using ticket_number = std::uint64_t;

} // namespace lovagegate

template <typename Tag>
struct std::hash<lovagegate::name<Tag>>
{
    std::size_t operator()(const lovagegate::name<Tag>& n) const noexcept
    {
        return std::hash<std::string>{}(n.str());
    }
};

template <>
struct std::hash<lovagegate::adapter_version>
{
    std::size_t operator()(const lovagegate::adapter_version& a) const noexcept
    {
        const std::size_t h = std::hash<std::string>{}(a.adapter);
        return h ^ (std::hash<std::string>{}(a.version) + 0x9e3779b97f4a7c15U +
                    (h << 6U) + (h >> 2U));
    }
};

#endif
