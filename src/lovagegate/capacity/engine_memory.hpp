#ifndef LOVAGEGATE_CAPACITY_ENGINE_MEMORY_HPP
#define LOVAGEGATE_CAPACITY_ENGINE_MEMORY_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace lovagegate::capacity {

/// Estimates how many tokens and requests each engine holds: the last report of
/// its owner, and what this instance has sent since. An engine fails if the
/// tokens of all its requests, the queued ones included, exceed its memory.
class engine_memory
{
public:
    void on_report(const gateway::engine_claim& claim, time_point now);

    /// @param tokens of the prompt and, at most, of the answer
    void on_sent(const std::string& engine, const std::string& service,
                 std::uint64_t tokens, time_point now);

    void forget(const std::string& engine) { engines_.erase(engine); }

    /// What a request needs, and what each engine of its service has.
    struct demand
    {
        std::uint64_t tokens = 0;
        std::uint64_t engine_tokens = 0;
        std::uint32_t engine_slots = 1;
    };

    /// @return whether the engine is estimated to have memory for the request's
    ///         tokens and room in its queue
    [[nodiscard]] bool has_room(const std::string& engine,
                                const std::string& service, const demand& d,
                                time_point now) const;

    /// @return tokens that the engine is estimated to hold
    [[nodiscard]] double held_tokens(const std::string& engine,
                                     const std::string& service,
                                     std::uint64_t engine_tokens,
                                     time_point now) const;

private:
    struct engine_record
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        double memory_use = 0; ///< share of the memory, by the report
        time_point reported_at{};
        time_point counted_from{}; ///< what was sent, without a report
        std::uint64_t tokens_since_report = 0;
        std::uint32_t requests_since_report = 0;
    };

    [[nodiscard]] static bool is_fresh(const engine_record& e, time_point now);

    std::map<std::string, engine_record, std::less<>> engines_;
    /// Average tokens of this instance's requests, by service.
    std::unordered_map<std::string, double> mean_tokens_;
};

} // namespace lovagegate::capacity

#endif
