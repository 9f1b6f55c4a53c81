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

/// A call of a plain service that the system passes on.
struct route
{
    std::string method; ///< HTTP method in capitals
    std::string path;   ///< exact path, or a prefix when it ends in '*'
    bool idempotent = false;
    priority importance = priority::normal;

    friend bool operator==(const route&, const route&) = default;
};

/// What callers address.
struct service
{
    target_group group; ///< the targets that carry the work
    priority importance = priority::interactive;
    std::size_t max_open = 0; ///< open requests fleet-wide; 0: no limit
    bool completions_idempotent = true;
    std::vector<route> routes; ///< calls of a plain service

    friend bool operator==(const service&, const service&) = default;
};

/// An adapter with the versions and services that may use it.
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

/// A back end.
struct target
{
    target_group group;
    target_kind kind = target_kind::engine;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    failure_domain domain;
    std::string model;            ///< base model that an engine serves
    std::size_t slots = 4;        ///< adapters that an engine holds at once
    std::size_t max_running = 32; ///< requests sent to it at once
    bool checks_fencing = false;  ///< it refuses orders with an older token
    bool leaving = false;         ///< gets no new work

    friend bool operator==(const target&, const target&) = default;
};

/// The weight store's limits for the whole deployment.
struct weight_store
{
    double loads_per_second = 4.0;
    std::size_t at_full_speed = 2; ///< concurrent loads at full speed
    std::size_t in_transit = 16;   ///< beyond it each load slows down

    friend bool operator==(const weight_store&, const weight_store&) = default;
};

/// The declared state: of each object the one with the highest number.
struct declared_state
{
    std::map<service_id, service> services;
    std::map<std::string, adapter, std::less<>> adapters;
    std::map<target_id, target> targets;
    std::map<std::string, weight_store, std::less<>> stores;
};

} // namespace lovagegate::ticket

#endif
