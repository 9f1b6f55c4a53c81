#include "lovagegate/gateway/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace lovagegate::gateway {

namespace {

std::string normal_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos)
        host = host.substr(0, colon);
    std::string out(host);
    std::ranges::transform(out, out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

} // namespace

bool route_table::adopt(site_config config)
{
    if (config.version <= version())
        return false;
    config_ = std::make_shared<const site_config>(std::move(config));
    hosts_.clear();
    for (const route& r : config_->routes)
        hosts_[normal_host(r.host)][r.prefix] = &r;
    workspaces_ = std::make_shared<const access::workspace_table>(config_);
    return true;
}

std::uint64_t route_table::version() const noexcept
{
    return config_->version;
}

std::shared_ptr<const route> route_table::find(std::string_view host,
                                               std::string_view target) const
{
    const auto on_host = hosts_.find(normal_host(host));
    if (on_host == hosts_.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so the path is cut after each slash, starting
    // with the last.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos
                            : path.rfind('/', slash - 1)) {
        const auto it = on_host->second.find(path.substr(0, slash + 1));
        if (it != on_host->second.end())
            return {config_, it->second};
    }
    return nullptr;
}

const service_spec* route_table::service(std::string_view name) const
{
    const auto it =
        std::ranges::find(config_->services, name, &service_spec::name);
    return it == config_->services.end() ? nullptr : &*it;
}

} // namespace lovagegate::gateway
