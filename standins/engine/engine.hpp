#ifndef LOVAGEGATE_STANDINS_ENGINE_ENGINE_HPP
#define LOVAGEGATE_STANDINS_ENGINE_ENGINE_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"
#include "lovagegate/net/http_server.hpp"
#include "standins/engine/adapter_slots.hpp"
#include "standins/engine/generation.hpp"
#include "standins/engine/history.hpp"
#include "standins/engine/options.hpp"

#include <cstdint>
#include <list>
#include <set>
#include <string>

namespace lovagegate::standins {

/// Stand-in for a model engine: the OpenAI API, the LoRA endpoints and
/// metrics, with made-up tokens at a steady pace.
class engine
{
public:
    explicit engine(engine_options options);

    /// Serves until the process is told to end.
    void run();

private:
    void on_request(const net::exchange_ptr& e);
    void route(const net::exchange_ptr& e);
    bool route_admin(const net::exchange_ptr& e);

    void take_completion(const net::exchange_ptr& e);
    void start_waiting();
    void begin(const generation_ptr& g);
    void step(const generation_ptr& g);
    void leave(const generation_ptr& g, std::string_view event);

    void take_load(const net::exchange_ptr& e);
    void fetch(const net::exchange_ptr& e, const std::string& name);
    void end_load(const net::exchange_ptr& e, const std::string& name,
                  std::uint64_t run, bool good);
    void take_unload(const net::exchange_ptr& e);
    bool refuse_order(net::exchange& e, order_answer answer,
                      const std::string& name);

    void crash();
    void list_models(net::exchange& e) const;
    void show_metrics(net::exchange& e) const;
    [[nodiscard]] std::string adapters_of(bool waiting) const;
    [[nodiscard]] net::header_list headers_of(const generation& g) const;

    engine_options options_;
    net::event_loop loop_;
    net::http_client client_;
    adapter_slots slots_;
    history history_;
    std::list<generation_ptr> running_;
    std::list<generation_ptr> waiting_;
    std::set<std::string> crash_markers_;
    incarnation incarnation_;
    time_point down_until_{};
    net::http_server server_;
};

} // namespace lovagegate::standins

#endif
