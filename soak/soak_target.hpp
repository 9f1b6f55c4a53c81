#ifndef LOVAGEGATE_SOAK_SOAK_TARGET_HPP
#define LOVAGEGATE_SOAK_SOAK_TARGET_HPP

#include "soak/judge.hpp"
#include "soak/tcp_proxy.hpp"
#include "standins/site/platform_store.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lovagegate::soak {

/// A target behind a proxy, published in the store. It works as the path of
/// each request says.
class soak_target
{
public:
    /// @param engine it holds adapters as it is ordered, else it is plain
    /// @param seed decides which requests it refuses
    soak_target(net::event_loop& loop, standins::platform_store& store,
                judge& j, std::string name, bool engine, std::uint64_t seed);

    [[nodiscard]] tcp_proxy& link() { return link_; }

    /// All that it was doing is lost, and connections are refused.
    void crash();

    /// Starts after a crash.
    /// @param new_id the store lists it under another id from now on
    void restart(bool new_id);

private:
    void start();
    [[nodiscard]] std::string id() const;
    standins::script answer(const standins::seen_request& r);
    /// @return nothing if the request is not one to an engine itself
    std::optional<standins::script> steer(const standins::seen_request& r);
    [[nodiscard]] bool holds(const std::string& adapter) const;
    standins::script stream(const standins::seen_request& r, const work& w);

    net::event_loop& loop_;
    standins::platform_store& store_;
    judge& judge_;
    std::string name_;
    bool engine_;
    std::uint64_t seed_;
    std::map<std::string, time_point> adapters_; ///< with the end of the load
    int generation_ = 0;                         ///< part of the id
    std::unique_ptr<standins::scripted_server> server_;
    tcp_proxy link_;
};

} // namespace lovagegate::soak

#endif
