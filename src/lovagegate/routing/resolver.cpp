#include "lovagegate/routing/resolver.hpp"

#include <algorithm>
#include <string_view>

namespace lovagegate::routing {
namespace {

using result = std::variant<resolved_request, refusal>;

/// Splits a model name, ADAPTER or ADAPTER@VERSION; without @ the version is
/// empty.
adapter_version split_model(std::string_view model)
{
    const std::size_t at = model.rfind('@');
    if (at == std::string_view::npos)
        return {std::string(model), {}};
    return {std::string(model.substr(0, at)),
            std::string(model.substr(at + 1))};
}

bool matches(const ticket::route& r, const node::caller_request& request)
{
    if (r.method != request.method)
        return false;
    const std::string_view path = request.path;
    if (r.path.ends_with('*'))
        return path.starts_with(
            std::string_view(r.path).substr(0, r.path.size() - 1));
    return path == r.path;
}

result resolve_completion(const node::caller_request& request,
                          const ticket::declared_state& state)
{
    adapter_version wanted = split_model(request.model);
    const auto a = state.adapters.find(wanted.adapter);
    if (a == state.adapters.end())
        return refusal::unknown_adapter;
    const ticket::adapter& adapter = a->second;
    service_id name = request.service;
    // A request without a service name is resolved only if exactly one service
    // permits the adapter.
    if (name.empty()) {
        if (adapter.services.size() != 1)
            return refusal::unknown_service;
        name = *adapter.services.begin();
    }
    const auto s = state.services.find(name);
    if (s == state.services.end())
        return refusal::unknown_service;
    if (!adapter.services.contains(name))
        return refusal::unknown_adapter;
    if (adapter.versions.empty())
        return refusal::version_not_allowed;
    if (wanted.version.empty())
        wanted.version = adapter.versions.front();
    else if (std::find(adapter.versions.begin(), adapter.versions.end(),
                       wanted.version) == adapter.versions.end())
        return refusal::version_not_allowed;
    const ticket::service& service = s->second;
    return resolved_request{name,
                            service.group,
                            std::move(wanted),
                            service.completions_idempotent,
                            request.importance.value_or(service.importance),
                            service.max_open};
}

result resolve_plain(const node::caller_request& request,
                     const ticket::declared_state& state)
{
    const auto s = state.services.find(request.service);
    if (s == state.services.end())
        return refusal::unknown_service;
    const ticket::service& service = s->second;
    const auto r = std::find_if(
        service.routes.begin(), service.routes.end(),
        [&](const ticket::route& route) { return matches(route, request); });
    if (r == service.routes.end())
        return refusal::unknown_route;
    return resolved_request{request.service,
                            service.group,
                            {},
                            r->idempotent,
                            request.importance.value_or(r->importance),
                            service.max_open};
}

} // namespace

result resolve(const node::caller_request& request,
               const ticket::declared_state& state)
{
    return request.completion ? resolve_completion(request, state)
                              : resolve_plain(request, state);
}

} // namespace lovagegate::routing
