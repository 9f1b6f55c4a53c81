#ifndef LOVAGEGATE_REVIEW_STANDIN_2_MODEL_ENGINE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_MODEL_ENGINE_HPP

#include "machines.hpp"
#include "service.hpp"

#include <deque>
#include <limits>

namespace review {

/// What all model engines of a script share.
struct model_settings
{
    std::string model = "m0";
    /// Another model, which the engine loads when it is ordered to; empty if
    /// there is none.
    std::string second_model;
    std::int64_t model_load_ms = 600;
    std::size_t adapter_slots = 12;
    std::int64_t load_ms = 250;
    std::size_t loads_at_once = 4;
    std::int64_t report_lag_ms = 100;
    std::size_t events = 8;
    std::int64_t event_ms = 20;
    std::int64_t restart_ms = 2000;
    /// Share of its answers of which a faulty engine sends a second copy.
    double second_answers = 0.03;
};

/// Answers of which a faulty engine sends second copies.
enum class fault
{
    none,
    copies_order_answers, ///< refusals of orders
    copies_streams,       ///< whole streams
};

/// A model engine that holds a base model from the start: loads and unloads
/// adapters as ordered and streams answers. It takes no other order while it
/// loads a base model. It crashes if it is ordered to hold more adapters than
/// it has places for, and starts again empty.
class model_engine
{
public:
    model_engine(engine_address self, model_settings settings, record& out);
    ~model_engine();

    [[nodiscard]] const engine_address& self() const { return self_; }
    [[nodiscard]] std::string key() const { return "servers/" + self_.id; }
    [[nodiscard]] std::string entry() const;

    /// While it is faulty, the engine sends a second copy of some answers,
    /// late: where the answer to the next request on the connection is due.
    /// After the copy of a stream, it closes the connection and doesn't handle
    /// that request.
    void set_fault(fault f);

    /// @return whether the engine has started again since the last call that
    ///         returned true; it then writes its entry
    bool take_restart();

    [[nodiscard]] bool has_run(const std::string& attempt) const;

    /// @return how often orders demanded more than the engine has places for
    [[nodiscard]] std::size_t overflows() const { return overflows_; }
    /// @return streams that were cut by these crashes
    [[nodiscard]] std::size_t lost_streams() const { return lost_streams_; }

private:
    static constexpr std::int64_t never =
        std::numeric_limits<std::int64_t>::max();

    struct held_adapter
    {
        std::int64_t ready_at = 0;
        std::size_t runs = 0;
        bool leaving = false;
    };

    struct past_report
    {
        std::int64_t at = 0;
        std::string text;
    };

    void serve(int fd);
    std::string answer_to(const message& request, std::int64_t& life);
    std::string order(const std::string& body);
    std::string model_order(const std::string& body);
    [[nodiscard]] bool holds_model(const std::string& model) const;
    [[nodiscard]] bool loads_model() const;
    std::string report();
    /// @param sent set to the bytes of the answer
    /// @return whether the whole answer was sent
    bool stream(int fd, const message& request, std::int64_t life,
                const std::string& adapter, std::string& sent);
    bool may_copy(fault f);
    void change();
    std::string describe() const;
    void crash(const std::string& adapter);
    bool is_up() const;

    engine_address self_;
    model_settings settings_;
    record& record_;
    mutable std::mutex mutex_;
    std::map<std::string, held_adapter> held_; ///< by MODEL/NAME
    std::int64_t model_from_ = 0;
    std::int64_t second_model_from_ = never;
    std::deque<past_report> reports_;
    std::set<std::string> runs_;
    std::uint64_t sequence_ = 1;
    std::uint64_t highest_token_ = 0;
    std::int64_t down_until_ = 0;
    std::atomic<std::int64_t> life_ = 1;
    fault fault_ = fault::none;
    bool restarts_ = false;
    std::size_t answers_ = 0;
    std::size_t second_answers_ = 0;
    std::atomic<std::size_t> overflows_ = 0;
    std::atomic<std::size_t> lost_streams_ = 0;
    std::unique_ptr<server> server_;
};

} // namespace review

#endif
