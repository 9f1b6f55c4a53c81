#ifndef LOVAGEGATE_CORE_IDENTIFIERS_HPP
#define LOVAGEGATE_CORE_IDENTIFIERS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lovagegate {

/// A name that cannot be taken for a name of another kind.
/// @tparam Tag the kind of thing that is named
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

/// One process of lovagegate, named by the platform's instance list.
using instance_id = name<struct instance_tag>;
/// One engine or plain service endpoint, named by a ticket.
using target_id = name<struct target_tag>;
/// A group of interchangeable targets, named by a ticket.
using target_group = name<struct target_group_tag>;
/// A service that callers address, named by a ticket.
using service_id = name<struct service_tag>;
/// A failure domain of the platform.
using failure_domain = name<struct failure_domain_tag>;
/// Up to pool_size engines of one group with one owner; see pool/pool_map.
using pool_id = name<struct pool_tag>;
/// Chosen by a caller so that a repeat of its request is recognised.
using request_id = name<struct request_tag>;

/// An adapter at one version: what a request asks for and an engine holds.
struct adapter_version
{
    std::string adapter;
    std::string version;

    friend auto operator<=>(const adapter_version&,
                            const adapter_version&) = default;
};

/// @return the name by which engines know the adapter: ADAPTER@VERSION
[[nodiscard]] inline std::string to_string(const adapter_version& a)
{
    return a.adapter + '@' + a.version;
}

/// Start of one process or engine: a later start has a higher number.
using incarnation = std::uint64_t;
/// Orders to an engine carry it; an engine that checks it refuses lower ones.
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
