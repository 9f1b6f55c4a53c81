#ifndef LOVAGEGATE_REVIEW_STANDIN_3_ENGINE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_3_ENGINE_HPP

#include "review/standin-3/http.hpp"
#include "review/standin-3/site.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::review {

struct engine_options
{
    std::string id;
    std::string service = "llm";
    std::string model = "m0";
    std::size_t slots = 16;
    std::size_t queue = 48;
    std::size_t adapter_slots = 11;
    std::size_t max_transit = 4;
    duration load_time = 250ms;
    /// A load takes up to this multiple of the time, at random.
    double load_spread = 1.6;
    double cached_factor = 0.1;
    duration report_lag = 100ms;
    duration event_gap = 40ms;
    duration prefill = 60ms;
    duration restart_time = 2s;
    bool check_fencing = true;
    std::uint64_t first_version = 1; ///< of all adapters
    bool empty = false;              ///< starts without its base model
    duration model_load_time = 600ms;
};

/// Stand-in of a model engine, as the pages describe it: batches of slots, a
/// queue, adapters that are loaded and unloaded by order, reports of some
/// hundred ms ago, an entry in the store.
class engine
{
public:
    engine(net::event_loop& loop, site& s, record& r,
           const engine_options& options);
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Share of the answers to requests of which a second copy follows late,
    /// where the next answer on the connection is expected.
    double extra_share = 0;
    /// Declares a newer version of an adapter.
    void release(const std::string& adapter, std::uint64_t version);

    /// One begin of a run.
    struct run
    {
        std::string attempt;
        std::string adapter;
        std::uint64_t version = 0;
        time_point begun{};
        time_point arrived{};
        std::string sender; ///< IP address
    };
    std::function<void(const run&)> on_run;
    /// Called with each order, before it is carried out.
    std::function<void(const std::string& holder, bool load,
                       const std::string& adapter)>
        on_order;

    std::size_t crashes = 0;   ///< by orders beyond the places
    std::size_t extras = 0;    ///< second copies that were sent
    std::size_t runs_lost = 0; ///< that a crash broke off
    std::size_t loads = 0;
    std::size_t refusals = 0;

    [[nodiscard]] const std::string& id() const { return options_.id; }

private:
    struct held
    {
        std::uint64_t version = 0;
        bool loading = false;
        std::size_t users = 0;
        bool leaving = false; ///< unload waits for its runs
        std::uint64_t next_version = 0;
    };

    struct job
    {
        connection_ptr to;
        std::string attempt;
        std::string adapter;
        std::size_t events = 0;
        std::size_t made = 0;
        bool begun = false;
        bool ended = false;
        time_point arrived{};
        std::string text; ///< of the answer's body so far
        std::string sender;
    };
    using job_ptr = std::shared_ptr<job>;

    void on_request(const connection_ptr& c, const request& r);
    void on_report(const connection_ptr& c);
    void carry_out(const connection_ptr& c, const request& r);
    void load(const connection_ptr& c, const std::string& adapter,
              std::uint64_t version);
    void unload(const connection_ptr& c, const std::string& adapter);
    void load_model(const connection_ptr& c);
    /// Adds the base model and its adapters to a description of the engine.
    template <typename Json>
    void describe_models(Json& to, const Json& adapters) const;
    void respond(const connection_ptr& c, int status,
                 const std::string& headers, const std::string& body,
                 const std::string& attempt);
    void begin_next();
    void step(const job_ptr& j);
    void end(const job_ptr& j, bool whole);
    void plan_extra(const connection_ptr& c, std::string copy);
    void crash(const std::string& reason);
    void publish();
    void beat();
    void keep_state();
    [[nodiscard]] std::string state_text() const;
    [[nodiscard]] std::uint64_t newest(const std::string& adapter) const;
    [[nodiscard]] std::size_t in_transit() const;
    [[nodiscard]] duration load_time(const std::string& adapter);

    net::event_loop& loop_;
    site& site_;
    record& record_;
    engine_options options_;
    std::mt19937 random_{std::random_device{}()};
    std::map<std::string, held> held_;
    std::map<std::string, std::uint64_t> newest_;
    std::deque<std::string> cached_;
    std::deque<job_ptr> queue_;
    std::vector<job_ptr> running_;
    std::deque<std::pair<time_point, std::string>> states_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_token_ = 0;
    std::uint64_t beats_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t life_ = 0;
    bool up_ = true;
    bool has_model_ = true;
    bool busy_ = false; ///< loads its base model
    std::string last_entry_;
    http_server server_;
};

/// @return a configuration with one route to engines with adapters
struct route_options
{
    std::string kind = "streaming";
    bool resumable = true;
    int timeout_ms = 12000;
    int target_ms = 500;
    int attempts = 2;
    std::size_t adapter_slots = 11;
    std::size_t slots = 16;
};
[[nodiscard]] std::string config_text(const route_options& route);

/// @return a client's request for an adapter
[[nodiscard]] std::string request_text(const std::string& attempt,
                                       const std::string& adapter,
                                       int deadline_ms, int events);

} // namespace lovagegate::review

#endif
