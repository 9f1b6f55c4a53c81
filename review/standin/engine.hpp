#ifndef LOVAGEGATE_REVIEW_STANDIN_ENGINE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_ENGINE_HPP

#include "net.hpp"
#include "record.hpp"
#include "store.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovagegate::review {

/// An order that an engine has received.
struct order_seen
{
    std::int64_t at = 0;
    std::string holder;
    std::uint64_t token = 0;
    int status = 0;
    std::string text;
};

/// A request that an engine has run.
struct run_seen
{
    std::int64_t at = 0;
    std::string attempt;
    std::string adapter;
    std::uint64_t version = 0;
};

/// A model engine with one base model, which it holds from the start.
class engine
{
public:
    static constexpr const char* model = "base";
    static constexpr std::size_t adapter_slots = 29;

    engine(record& log, store& platform, std::string id, const std::string& ip,
           std::string service);

    /// @param on whether it refuses orders with a token lower than one before
    void check_fences(bool on) { checks_fences_ = on; }
    /// @param events of each run, one every 20 ms
    void set_events_of_run(int events) { events_of_run_ = events; }
    /// Writes its entry, and then every 1.2 s if something has changed.
    void start_pings();
    /// Writes its entry now if something has changed.
    void ping();
    /// @return whether its entry would change
    [[nodiscard]] bool has_news();
    /// Its entry is removed without a report that it leaves; it goes on
    /// serving.
    /// @return time of the store's acknowledgement
    std::int64_t leave();
    /// It is gone: its channels are reset.
    void end() { ended_ = true; }

    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] std::vector<order_seen> orders();
    [[nodiscard]] std::vector<run_seen> runs();
    /// @return when it was first ordered to hold more than it has room for, at
    ///         which a real engine crashes; -1 if it wasn't
    [[nodiscard]] std::int64_t overloaded_at();
    /// @return whether it holds an adapter
    [[nodiscard]] bool holds(const std::string& adapter);

private:
    struct adapter_state
    {
        std::uint64_t version = 0; ///< 0: the first load isn't finished
        std::uint64_t next = 0;    ///< version that is being loaded
        std::int64_t ready_at = 0;
        int runs = 0;
        bool leaving = false; ///< unloaded when its runs have ended
    };

    bool serve(channel& c, const message& request);
    std::string report();
    std::string order(const message& request);
    int carry_out(const nlohmann::json& body, std::uint64_t token);
    int load(const std::string& adapter, std::uint64_t version);
    int unload(const std::string& adapter);
    bool run(channel& c, const message& request);
    void settle();
    [[nodiscard]] std::size_t in_transit() const;
    [[nodiscard]] std::uint64_t newest(const std::string& adapter);
    nlohmann::json models() const;
    nlohmann::json entry() const;

    record& log_;
    store& store_;
    std::string id_;
    std::string address_;
    std::string service_;
    std::int64_t born_ms_;
    std::mutex mutex_;
    std::map<std::string, adapter_state> adapters_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_token_ = 0;
    bool checks_fences_ = true;
    int running_ = 0;
    int events_of_run_ = 3;
    nlohmann::json shown_;   ///< the report, some time old
    nlohmann::json written_; ///< the entry that was written last
    std::int64_t overloaded_at_ = -1;
    bool leaves_ = false;
    std::atomic<bool> ended_{false};
    std::vector<order_seen> orders_;
    std::vector<run_seen> runs_;
};

} // namespace lovagegate::review

#endif
