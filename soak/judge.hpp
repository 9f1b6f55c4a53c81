#ifndef LOVAGEGATE_SOAK_JUDGE_HPP
#define LOVAGEGATE_SOAK_JUDGE_HPP

#include "soak/broken_promise.hpp"
#include "soak/calm.hpp"
#include "soak/notice_watch.hpp"
#include "soak/work.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::soak {

/// What a caller got on its connection.
struct answer_facts
{
    int status = 0; ///< 0: not even a head
    bool is_signed = false;
    bool complete = false;
    std::string id; ///< that the answer bears
    std::string body;
};

/// Why a request that got no whole answer ended.
enum class unanswered : std::uint8_t
{
    connection_ended,
    out_of_time, ///< the caller's time was up, or the caller left
};

/// How often an attempt ended in which way.
struct tally
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t unknown_routes = 0; ///< of questions for a configuration
    std::size_t lost = 0;
    std::size_t out_of_time = 0;
    std::size_t runs = 0;
    std::size_t lost_in_calm = 0; ///< excused ones too
    std::size_t crossed = 0;      ///< of these: on kept connections, not run
};

/// Judges from what callers and targets saw. It has no socket and no clock.
class judge
{
public:
    /// @param calm when no fault was at work; outlives the judge
    /// @param stop_grace time that a planned stop may take
    judge(const calm_record& calm, duration stop_grace, report_handler report);

    /// A caller has sent a whole request.
    /// @param time_left that the caller grants
    /// @param kept the connection has served an earlier request
    void on_sent(const work& w, const std::string& instance, time_point now,
                 duration time_left, bool kept);

    /// A target begins to work on a request.
    /// @param seen from the path, nothing if it names no work
    void on_run(const std::string& id, const std::optional<work>& seen,
                std::string_view body, time_point now);

    /// A caller got the end of an answer.
    void on_answer(const std::string& id, const answer_facts& answer,
                   time_point now);

    /// A caller will get no whole answer.
    /// @param part what came of it
    void on_unanswered(const std::string& id, const answer_facts& part,
                       unanswered why, time_point now);

    /// A caller got bytes that no request asked for.
    void on_unasked_bytes(const std::string& instance, std::string_view bytes,
                          time_point now);

    /// A process got SIGTERM.
    void on_stop(const std::string& instance, time_point now);

    /// Decides what had to wait for later faults to be known.
    void settle(time_point now);

    /// @return the part that judges how notices of targets are heeded
    [[nodiscard]] notice_watch& notices() noexcept { return notices_; }
    [[nodiscard]] const notice_watch& notices() const noexcept
    {
        return notices_;
    }

    [[nodiscard]] const tally& counts() const noexcept { return counts_; }

private:
    struct attempt
    {
        work asked;
        std::string instance;
        time_point sent;
        duration time_left{};
        bool kept = false;
        int runs = 0;
        bool refused = false;
    };
    struct loss
    {
        std::string id;
        time_point at;
    };

    void check_success(const attempt& a, const answer_facts& f, time_point now);
    void check_refusal(attempt& a, const answer_facts& f, time_point now);
    void check_part(const attempt& a, const answer_facts& f, time_point now);
    void check_loss(const loss& l, time_point now);
    [[nodiscard]] bool outlived_grace(const attempt& a, time_point end) const;
    void report(const attempt& a, time_point now, const std::string& seen,
                const std::string& expected) const;

    const calm_record& calm_;
    duration stop_grace_;
    report_handler report_;
    notice_watch notices_;
    std::map<std::string, attempt> attempts_;
    std::vector<loss> losses_;
    std::map<std::string, std::vector<time_point>> stops_;
    tally counts_;
};

} // namespace lovagegate::soak

#endif
