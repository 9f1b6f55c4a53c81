#ifndef LOVAGEGATE_IDEMPOTENCY_CLAIM_HOME_HPP
#define LOVAGEGATE_IDEMPOTENCY_CLAIM_HOME_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/idempotency/settings.hpp"
#include "lovagegate/membership/view.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Ensures that a non-idempotent call runs at most once.
namespace lovagegate::idempotency {

/// @return the rendezvous key that determines the home of a request id
[[nodiscard]] std::string home_key(const request_id& r);

/// Records of the request ids whose home is this instance. A claim is answered
/// `go` only if no other instance can have answered `go` for the same id. See
/// docs/design/at-most-once.md for the rule and the remaining window.
class claim_home
{
public:
    /// @param self this instance
    /// @param s limits
    /// @param c counters of the instance; must outlive this
    claim_home(instance_id self, claim_settings s, counters& c);

    void on_claim(const protocol::sender& from,
                  const protocol::claim_request& claim, instant now,
                  const membership::view& view, node::outbox& out);
    void on_result(const protocol::sender& from,
                   const protocol::claim_result& result, instant now);
    void on_transfer(const protocol::sender& from,
                     const protocol::claim_transfer& transfer, instant now,
                     const membership::view& view, node::outbox& out);
    void on_transfer_answer(const protocol::sender& from,
                            const protocol::claim_transfer_answer& answer,
                            instant now, const membership::view& view,
                            node::outbox& out);
    /// Called when an instance is lost or has restarted. The outcome of its
    /// running claims becomes unknown, since they may have run.
    void on_peer_gone(const instance_id& peer);
    /// Ends unanswered transfers and removes expired records.
    void tick(instant now, node::outbox& out);

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const noexcept
    {
        return answer_bytes_;
    }

private:
    enum class stage : std::uint8_t
    {
        running,
        done,
        unknown,
        transferred, ///< handed over to another home
    };
    struct record
    {
        stage state = stage::running;
        fingerprint print = 0;
        wall_time issued{};
        protocol::sender holder; ///< claimant, or the new home
        local_id claim = 0;
        std::optional<protocol::stored_answer> answer;
    };
    struct waiting_claim
    {
        protocol::sender from;
        protocol::claim_request claim;
    };
    struct transfer
    {
        instance_id source;
        time_point until{};
        std::vector<waiting_claim> claims;
    };
    using record_map = std::unordered_map<request_id, record>;

    void answer_from_record(const protocol::sender& from,
                            const protocol::claim_request& claim,
                            const record& r, bool is_home, node::outbox& out);
    void answer(const protocol::sender& to, local_id id,
                protocol::claim_verdict verdict, node::outbox& out,
                std::optional<protocol::stored_answer> stored = {});
    void grant_run(const protocol::sender& from,
                   const protocol::claim_request& claim, node::outbox& out);
    void request_transfer(const protocol::sender& from,
                          const protocol::claim_request& claim, instant now,
                          const membership::view& view, node::outbox& out);
    [[nodiscard]] protocol::claim_transfer_answer
    hand_over(const protocol::sender& to, const protocol::claim_transfer& t,
              instant now, const membership::view& view);
    [[nodiscard]] bool can_hand_over(const protocol::sender& to,
                                     const protocol::claim_transfer& t,
                                     instant now,
                                     const membership::view& view) const;
    void import_record(const request_id& id, const waiting_claim& first,
                       const protocol::claim_transfer_answer& a);
    void store_answer(record_map::iterator it,
                      std::optional<protocol::stored_answer> stored);
    void discard_answer(record& r);
    void erase(record_map::iterator it);
    void expire_records(instant now);
    record& insert(const request_id& id, record r);

    instance_id self_;
    claim_settings settings_;
    counters& counters_;
    record_map records_;
    std::multimap<wall_time, request_id> by_issue_time_;
    std::deque<request_id> stored_answer_order_; ///< oldest first
    std::size_t answer_bytes_ = 0;
    std::unordered_map<request_id, transfer> transfers_;
    wall_time expired_until_{}; ///< ids issued until then may be expired
};

} // namespace lovagegate::idempotency

#endif
