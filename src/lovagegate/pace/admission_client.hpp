#ifndef LOVAGEGATE_PACE_ADMISSION_CLIENT_HPP
#define LOVAGEGATE_PACE_ADMISSION_CLIENT_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lovagegate::pace {

/// Parameters of an instance that asks the owners of engines.
struct client_settings
{
    /// Without an answer in this time, the request goes on unadmitted. An
    /// answer takes 1 to 6 ms.
    duration answer_timeout = 40ms;
    /// Time for which an owner that didn't answer isn't asked.
    duration silence_backoff = 1s;
    /// Updates to one owner are collected for this time.
    duration update_delay = 10ms;
    /// Updates in one datagram.
    std::size_t max_update_entries = 32;
};

/// Result of an admission request.
struct admission_answer
{
    enum class kind : std::uint8_t
    {
        admitted,
        refused,
        unanswered ///< the request goes on by its instance's own choice
    };
    kind result = kind::unanswered;
    std::uint64_t number = 0;
    std::uint32_t open_requests = 0; ///< unless unanswered
    std::uint32_t usable_slots = 0;
};

/// Asks the owners of engines to admit requests, and tells them what became of
/// those that they admitted. Uses neither sockets nor clocks.
class admission_client
{
public:
    /// Sends a message to an instance. The empty address is this instance; its
    /// reply may come before the call returns.
    using sender = std::function<void(const std::string& address,
                                      const gateway::peer_message& message)>;
    using answer_handler = std::function<void(const admission_answer& answer)>;

    /// @param first_number random, so that the numbers of an earlier process at
    ///        this address don't return
    admission_client(std::uint64_t first_number, sender send,
                     const client_settings& settings = {});

    /// Asks an owner; it must not be silent.
    /// @param owner address; empty: this instance
    /// @param request its number is chosen here
    /// @param done called once unless cancelled, possibly before this function
    ///        returns
    /// @return number for cancel()
    std::uint64_t ask(const std::string& owner, gateway::run_request request,
                      time_point now, answer_handler done);

    /// Gives up a question; a late admission is returned to the owner.
    void cancel(std::uint64_t number);

    /// @return whether the owner has recently left a question unanswered
    [[nodiscard]] bool is_silent(const std::string& owner,
                                 time_point now) const;

    void on_reply(const std::string& from, const gateway::run_reply& reply,
                  time_point now);

    /// Called when an admitted request has begun or ended.
    /// @param time since the send, for run_event::begun
    void on_event(std::uint64_t number, gateway::run_event event, duration time,
                  time_point now);

    /// Ends questions without an answer and sends the collected updates. Call
    /// it at next_action().
    void tick(time_point now);

    [[nodiscard]] std::optional<time_point> next_action() const;

    /// @return admitted requests that have not ended
    [[nodiscard]] std::uint32_t open(const std::string& engine) const;

private:
    struct question
    {
        std::string owner;
        std::string engine;
        time_point until{};
        answer_handler done;
    };

    struct admission
    {
        std::string owner;
        std::string engine;
    };

    struct update_batch
    {
        gateway::run_update message;
        time_point due{};
    };

    void add_update(const std::string& owner, gateway::run_update::entry entry,
                    time_point now);
    void finish(std::uint64_t number, admission_answer answer);

    client_settings settings_;
    sender send_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, question> questions_;
    std::map<std::uint64_t, admission> admissions_;
    std::map<std::string, std::uint32_t, std::less<>> open_;      ///< by engine
    std::map<std::string, update_batch, std::less<>> updates_;    ///< by owner
    std::map<std::string, time_point, std::less<>> silent_until_; ///< by owner
};

} // namespace lovagegate::pace

#endif
