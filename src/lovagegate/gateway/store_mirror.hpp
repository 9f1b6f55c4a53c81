#ifndef LOVAGEGATE_GATEWAY_STORE_MIRROR_HPP
#define LOVAGEGATE_GATEWAY_STORE_MIRROR_HPP

#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/link_pacer.hpp"
#include "lovagegate/gateway/news_assembler.hpp"
#include "lovagegate/gateway/news_codec.hpp"
#include "lovagegate/gateway/store_reader.hpp"
#include "lovagegate/reading/reader_watch.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// This instance's copy of what the platform's store holds. Reads the store if
/// that is this instance's duty, sends what it has read to the other instances,
/// and takes what they send or pulls what is missing from them.
class store_mirror
{
public:
    /// Sends one datagram to the instance at an address.
    using datagram_sender =
        std::function<void(const std::string& to, std::string_view datagram)>;

    /// @param pool for calls to the store and to other instances
    /// @param on_operator_item called with each change of an operator's key
    /// @param on_target_item called with each change of a target's entry
    /// @param settings of the calls to the store
    store_mirror(net::event_loop& loop, target_pool& pool, gateway_state& state,
                 std::mt19937_64& random, datagram_sender send,
                 store_reader::item_handler on_operator_item,
                 store_reader::item_handler on_target_item,
                 store_reader_settings settings = {});
    store_mirror(const store_mirror&) = delete;
    store_mirror& operator=(const store_mirror&) = delete;

    /// Begins to read the store.
    void start();

    /// Takes up or gives up the duty to read the store.
    void update_duty(time_point now);

    /// Sends keepalives to the others if this instance reads the store for
    /// them, and takes over from readers that send none. Call it every 50 ms.
    void tick(time_point now);

    /// Handles a keepalive of an instance that reads the store.
    void on_keepalive(const reader_keepalive& keepalive, time_point now);

    /// Writes into the own member record what the other instances need to know
    /// of this copy.
    void describe(member_record& self) const;

    /// Writes into a heartbeat how long ago the store answered, if callers need
    /// keys.
    void describe(heartbeat& h, time_point now) const;

    /// Takes in how long ago the sender of a heartbeat was in contact with the
    /// store, if that sender knows no newer configuration than this instance.
    void on_contact_told(const heartbeat& h, time_point now);

    /// Handles changes of the store, or a part of them, that another instance
    /// has sent.
    void on_changes(const settings::endpoint& from, const store_changes& news);

    /// Pulls what other instances have known for a while and this one hasn't.
    void pull_missing(time_point now);

    /// @param path path of a request for the state, see is_state_path()
    /// @return the state, for the instance that requests it
    [[nodiscard]] std::string state_for(std::string_view path) const;

    /// @return whether a request for this path asks for the state
    [[nodiscard]] static bool is_state_path(std::string_view path);

    [[nodiscard]] const store_reader& operator_keys() const noexcept
    {
        return operator_reader_;
    }
    [[nodiscard]] const store_reader& targets() const noexcept
    {
        return target_reader_;
    }

private:
    /// @return whether this instance reads the store for the others
    [[nodiscard]] bool has_duty(time_point now) const;
    /// Takes over from readers that are lost although membership doesn't know
    /// yet.
    void act_as_reader(bool active, time_point now);
    void send_keepalive(time_point now);
    /// Hands the duty to read the store over to other instances.
    void on_contact_lost();
    /// Sends changes to the other instances, at once or if the reader whose
    /// duty that is doesn't.
    void tell(bool of_targets, const store_reader::batch& news);
    void send_changes(bool of_targets, const store_reader::batch& news);
    /// Passes a message on to the receivers that it names.
    void relay(store_changes news);
    void send_to(const std::string& address, const store_changes& message);
    /// Sends a part of large changes when the link has room for it.
    void send_paced(const std::string& address, std::string datagram);
    void pull_from(const std::string& address);
    void apply_state(const std::string& body);
    void report_unreadable_state(const char* reason);
    [[nodiscard]] known_revisions newest() const;

    net::event_loop& loop_;
    target_pool& pool_;
    gateway_state& state_;
    std::mt19937_64& random_;
    datagram_sender send_;
    store_reader operator_reader_;
    store_reader target_reader_;
    news_assembler assembler_;
    link_pacer link_pacer_;
    reading::reader_watch readers_;
    bool acts_as_reader_ = false;
    std::unique_ptr<short_call> pull_;
    time_point last_pull_{};
    known_revisions told_; ///< newest that other instances have sent
    known_revisions missing_revisions_; ///< newest that peers had then
    time_point missing_since_{};        ///< when this instance last caught up
    bool pull_everything_ = false;
};

} // namespace lovagegate::gateway

#endif
