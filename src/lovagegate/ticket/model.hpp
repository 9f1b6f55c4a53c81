#ifndef LOVAGEGATE_TICKET_MODEL_HPP
#define LOVAGEGATE_TICKET_MODEL_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::ticket {

/// A call that is forwarded to a plain service.
struct route
{
    std::string method; ///< HTTP method in capitals
    std::string path;   ///< exact path, or a prefix when it ends in '*'
    bool idempotent = false;
    priority importance = priority::normal;

    friend bool operator==(const route&, const route&) = default;
};

/// A service that callers address.
struct service
{
    target_group group; ///< targets that execute its requests
    priority importance = priority::interactive;
    std::size_t max_open = 0; ///< open requests fleet-wide; 0: no limit
    bool completions_idempotent = true;
    std::vector<route> routes; ///< calls of a plain service

    friend bool operator==(const service&, const service&) = default;
};

/// An adapter with its permitted versions and the services that may use it.
struct adapter
{
    std::string model;                 ///< base model
    std::vector<std::string> versions; ///< permitted; the first is the default
    std::set<service_id> services;     ///< the services that may call it

    friend bool operator==(const adapter&, const adapter&) = default;
};

enum class target_kind : std::uint8_t
{
    engine, ///< holds adapters
    plain,  ///< a plain service
};

/// A back end: an engine or a server of a plain service.
struct target
{
    target_group group;
    target_kind kind = target_kind::engine;
    std::string address; ///< IPv4 address
    std::uint16_t port = 0;
    failure_domain domain;
    std::string model;            ///< base model that an engine serves
    std::size_t slots = 4;        ///< adapters that an engine holds at once
    std::size_t max_running = 32; ///< concurrent requests sent to it
    bool checks_fencing = false;  ///< whether it rejects stale tokens
    bool leaving = false;         ///< whether it receives no new work

    friend bool operator==(const target&, const target&) = default;
};

/// Limits of a weight store for the whole deployment.
struct weight_store
{
    double loads_per_second = 4.0;
    std::size_t at_full_speed = 2; ///< concurrent loads at full speed
    std::size_t in_transit = 16;   ///< concurrent loads; more slow down all

    friend bool operator==(const weight_store&, const weight_store&) = default;
};

/// The declared state: for each object, the state from the ticket with the
/// highest rank that names it.
struct declared_state
{
    std::map<service_id, service> services;
    std::map<std::string, adapter, std::less<>> adapters;
    std::map<target_id, target> targets;
    std::map<std::string, weight_store, std::less<>> stores;
};

} // namespace lovagegate::ticket

#endif
