#ifndef LOVAGEGATE_GATEWAY_STORE_READER_HPP
#define LOVAGEGATE_GATEWAY_STORE_READER_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/draining/expiry_doubt.hpp"
#include "lovagegate/gateway/short_call.hpp"
#include "lovagegate/gateway/store_revision.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/settings/endpoint.hpp"
#include "platform/published.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// Timing of the calls to the platform's store. The platform charges for each
/// call.
struct store_reader_settings
{
    /// How long the store may hold a watch open. Nothing shows before its end
    /// that the store no longer answers, and a configuration may wait for the
    /// store as long.
    duration watch_timeout = 500ms;
    /// The same time for the call after an interrupted one and for the first of
    /// an instance that begins to read: they only check whether the store
    /// answers.
    duration probe_watch_timeout = 1ms;
    /// Contact with the store counts as lost this long after a watch should
    /// have ended. The call goes on, since a slow store may still answer.
    duration silence_margin = 400ms;
    /// The same for pages of a list, which may be a megabyte long.
    duration page_silence_margin = 1s;
    /// Added to the watch time before a call counts as failed.
    duration response_margin = 800ms;
    /// Between the end of one watch and the start of the next.
    duration watch_interval = 200ms;
    /// Between two calls of an instance that has lost contact and given up the
    /// duty to read. Without them it would pass for cut off for good, and count
    /// as a reader only when no other is left.
    duration recheck_interval = 3s;
    duration initial_backoff = 150ms;
    duration max_backoff = 600ms;
    /// See draining::expiry_doubt.
    duration stable_window = 3s;
    /// Deletions that are remembered while changes before them are missing.
    std::size_t max_deletions_ahead = 4096;
};

/// Mirrors all keys with one prefix from the platform's store.
class store_reader
{
public:
    /// @param item current state of the item, or its deletion
    /// @param doubt_left for how much longer a deleted entry may merely have
    ///         expired while the store was away; zero if it was deleted
    using item_handler = std::function<void(
        const platform_wire::store_item& item, duration doubt_left)>;

    using item_map = std::map<std::string, platform_wire::store_item>;

    /// Changes that were received together.
    struct batch
    {
        store_revision after;    ///< newest revision before these changes
        store_revision revision; ///< newest revision among these changes
        /// Until when deleted entries may merely have expired.
        time_point doubt_until{};
        std::vector<platform_wire::store_item> items;
        item_map previous_values; ///< values before the changes, where there
                                  ///< were any
    };
    /// Called with changes that this instance has read from the store itself.
    using batch_handler = std::function<void(const batch&)>;
    /// Called when contact with the store is lost.
    using contact_handler = std::function<void()>;

    store_reader(net::event_loop& loop, target_pool& pool,
                 settings::endpoint store, std::string prefix, counters& counts,
                 item_handler on_item, batch_handler on_batch,
                 contact_handler on_contact_lost,
                 store_reader_settings settings = {});
    ~store_reader();
    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;

    /// Reads all keys, then watches them.
    void start();

    /// Resumes or stops watching; the initial read is made in either case.
    void set_active(bool active);

    /// Replaces all keys by the state that another instance sent.
    /// @param newest newest revision of that state
    /// @param keys all existing keys; other keys of the prefix are deleted
    /// @param items items that may have changed since this instance's state
    /// @param doubt_left doubt_left() of that instance
    /// @return whether no item was missing
    bool apply_peer_snapshot(store_revision newest,
                             std::span<const std::string> keys,
                             std::span<const platform_wire::store_item> items,
                             duration doubt_left);

    /// Applies changes that another instance has read.
    /// @return whether no change is missing between the known state and these
    bool apply_peer_changes(const batch& news);

    /// @return the revision up to which the state is complete, 0 before the
    ///         first read
    [[nodiscard]] store_revision newest() const noexcept { return newest_; }

    /// @return whether all keys were read once, by this or another instance
    [[nodiscard]] bool is_loaded() const noexcept { return loaded_; }

    /// @return whether the store doesn't answer: a call is overdue, timed out
    ///         or could not connect, or the call after an interrupted one
    ///         failed as well
    [[nodiscard]] bool is_failing() const noexcept { return failing_; }

    /// @return how long calls have been failing, zero if the last one succeeded
    [[nodiscard]] duration time_without_contact(time_point now) const;

    /// Called when a call of this reader was answered.
    void set_answer_handler(std::function<void()> handler)
    {
        on_answer_ = std::move(handler);
    }

    /// @return for how much longer a deleted entry may merely have expired
    ///         while the store didn't answer, as this instance or the one that
    ///         it has its news from has found; zero if deletions are certain
    [[nodiscard]] duration doubt_left(time_point now) const
    {
        return doubt_.left(now);
    }

    [[nodiscard]] const item_map& items() const noexcept { return items_; }

    /// @return whether this instance watches the store and the store answers
    [[nodiscard]] bool is_reading() const noexcept
    {
        return active_ && !failing_;
    }

private:
    /// @param answer_due time in which the store usually answers
    /// @param limit time after which the call has failed
    void call(const std::string& path, duration answer_due, duration limit,
              void (store_reader::*done)(const short_call::result&));
    /// Loses contact with the store unless the call ends in time.
    void expect_answer(duration due);
    void lose_contact(int status);
    void read_page();
    void on_page(const short_call::result& r);
    void watch();
    void on_watch(const short_call::result& r);
    void on_failure(const short_call::result& r);
    void on_answered();
    /// Reads the store from the start after an answer that can't be used.
    void on_unusable_answer(const short_call::result& r,
                            std::string_view reason);
    /// Reads the era of a successful answer.
    /// @throws platform_wire::published_error if it isn't a number, or precedes
    ///         the known one: such an answer was made before the store was
    ///         restored
    [[nodiscard]] std::uint64_t
    checked_era(const net::message_head& answer) const;
    /// Called when the store turns out to have been restored from a copy.
    /// Absence from the copy doesn't show that an entry was deleted.
    void on_restored(std::uint64_t era);
    /// @return whether the call was interrupted and the one before it was not
    bool is_first_interruption(const short_call::result& r);
    void schedule_next(duration after, bool from_start);
    /// @return whether the item, as received, lies before the complete state,
    ///         which no longer has its key
    [[nodiscard]] bool
    was_deleted_since(const platform_wire::store_item& item) const;
    /// @return the revision of a deletion that lies beyond the complete state
    [[nodiscard]] std::optional<store_revision>
    deletion_ahead(const std::string& key) const;
    /// Called when the state has become complete up to a revision.
    void advance_to(store_revision revision);
    bool apply(const platform_wire::store_item& item, time_point doubt_until);
    /// Applies an item that was read from the store, and adds it to the news
    /// unless receivers of that news must have it.
    void apply_to(batch& news, const platform_wire::store_item& item);
    void publish_changes(batch news);
    /// @param all complete state as of the revision; single items may be newer
    batch apply_all(const item_map& all, store_revision revision,
                    time_point doubt_until);

    net::event_loop& loop_;
    target_pool& pool_;
    settings::endpoint store_;
    std::string prefix_;
    counters& counts_;
    item_handler on_item_;
    batch_handler on_batch_;
    contact_handler on_contact_lost_;
    std::function<void()> on_answer_ = [] {};
    store_reader_settings settings_;
    item_map items_;
    item_map partial_items_;
    /// Deleted keys, by changes after a gap. A change that fills the gap later
    /// must not bring such a key back.
    std::map<std::string, store_revision> deletions_ahead_;
    draining::expiry_doubt doubt_;
    store_revision first_page_revision_;
    store_revision revision_;     ///< watches continue from here
    store_revision watched_from_; ///< position of the current watch
    time_point failing_since_{};
    time_point started_{};
    time_point call_sent_{};
    duration backoff_{};
    net::timer_id timer_ = 0;
    net::timer_id silence_timer_ = 0;
    std::unique_ptr<short_call> call_;
    store_revision newest_;
    bool failing_ = false;
    bool interrupted_ = false; ///< the last call was interrupted
    /// No call was answered since the instance began to read.
    bool contact_uncertain_ = false;
    bool loaded_ = false;
    bool active_ = true;
    bool calling_ = false; ///< a call is in progress
};

} // namespace lovagegate::gateway

#endif
