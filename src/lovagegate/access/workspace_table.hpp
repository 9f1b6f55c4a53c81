#ifndef LOVAGEGATE_ACCESS_WORKSPACE_TABLE_HPP
#define LOVAGEGATE_ACCESS_WORKSPACE_TABLE_HPP

#include "lovagegate/access/key_digest.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <concepts>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace lovagegate::access {

/// Computes the digest of a key.
template <typename T>
concept key_hash = requires(const T hash, std::string_view key)
{
    {
        hash(key)
        } -> std::same_as<key_digest>;
};

/// The hash that all instances use.
struct sha256_key_hash
{
    [[nodiscard]] key_digest operator()(std::string_view key) const
    {
        return digest_of(key);
    }
};

/// The workspaces of one configuration, by key.
/// @tparam Hash tests count its calls
template <key_hash Hash>
class basic_workspace_table
{
public:
    /// @param config complete configuration, which the table keeps
    explicit basic_workspace_table(
        std::shared_ptr<const gateway::site_config> config)
        : config_(std::move(config))
    {
        if (!config_->workspaces)
            return;
        for (const auto& workspace : *config_->workspaces)
            for (const auto& digest : workspace.keys)
                workspaces_.emplace(digest, &workspace);
    }

    /// @return whether the configuration has workspaces, so that callers need
    ///         keys
    [[nodiscard]] bool needs_keys() const noexcept
    {
        return config_->workspaces.has_value();
    }

    /// Finds a workspace; hashes the key once, whatever the number of
    /// workspaces.
    /// @param key as sent by the caller
    /// @return null if no workspace has the key
    [[nodiscard]] std::shared_ptr<const gateway::workspace_spec>
    find(std::string_view key) const
    {
        const auto it = workspaces_.find(Hash()(key));
        if (it == workspaces_.end())
            return nullptr;
        return {config_, it->second};
    }

private:
    /// A digest's bytes are distributed evenly, so they need no further hash.
    struct leading_bytes
    {
        std::size_t operator()(const key_digest& digest) const noexcept
        {
            std::size_t out = 0;
            std::memcpy(&out, digest.bytes.data(), sizeof out);
            return out;
        }
    };

    std::shared_ptr<const gateway::site_config> config_;
    std::unordered_map<key_digest, const gateway::workspace_spec*,
                       leading_bytes>
        workspaces_;
};

using workspace_table = basic_workspace_table<sha256_key_hash>;

} // namespace lovagegate::access

#endif
