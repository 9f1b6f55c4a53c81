#ifndef LOVAGEGATE_GATEWAY_STORE_READER_HPP
#define LOVAGEGATE_GATEWAY_STORE_READER_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/gateway/short_call.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/settings/endpoint.hpp"
#include "platform/published.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lovagegate::gateway {

/// Timing of the calls to the platform's store; each call is priced.
struct store_settings
{
    /// How long the store may hold a watch: a connection that went silent
    /// shows after this time.
    duration watch_wait = 2500ms;
    /// Added to the wait before a call counts as failed.
    duration answer_limit = 800ms;
    /// Between the end of one watch and the begin of the next.
    duration watch_pause = 60ms;
    duration first_back_off = 150ms;
    duration longest_back_off = 600ms;
    /// Entries that vanish so soon after a failed call may have lapsed.
    duration doubt = 4s;
};

/// Follows all keys of one prefix in the platform's store.
class store_reader
{
public:
    /// @param item as it is now, or deleted
    /// @param in_doubt it may be missing since the store was away
    using item_handler = std::function<void(
        const platform_wire::store_item& item, bool in_doubt)>;

    store_reader(net::event_loop& loop, target_pool& pool,
                 settings::endpoint store, std::string prefix,
                 counters& counts, item_handler on_item,
                 store_settings settings = {});
    ~store_reader();
    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;

    /// Reads all keys, then watches them.
    void start();

    /// Takes the keys as another instance knows them.
    /// @param revision of the store when it answered that instance
    /// @param items of all keys; others of the prefix are gone
    void adopt(std::uint64_t revision,
               const std::vector<platform_wire::store_item>& items);

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /// @return how long calls have failed, zero if the last one did not
    [[nodiscard]] duration out_of_contact(time_point now) const;

    [[nodiscard]] const std::map<std::string, platform_wire::store_item>&
    items() const noexcept
    {
        return items_;
    }

private:
    void call(const std::string& path, duration limit,
              void (store_reader::*done)(int, const std::string&));
    void read_page();
    void on_page(int status, const std::string& body);
    void watch();
    void on_watch(int status, const std::string& body);
    void on_failure(int status);
    void again(duration after, bool from_start);
    void apply(const platform_wire::store_item& item, bool in_doubt);
    void apply_all(const std::map<std::string, platform_wire::store_item>& all,
                   std::uint64_t revision);
    [[nodiscard]] bool in_doubt(time_point now) const;

    net::event_loop& loop_;
    target_pool& pool_;
    settings::endpoint store_;
    std::string prefix_;
    counters& counts_;
    item_handler on_item_;
    store_settings settings_;
    std::map<std::string, platform_wire::store_item> items_;
    std::map<std::string, platform_wire::store_item> pages_;
    std::uint64_t pages_revision_ = 0;
    std::uint64_t revision_ = 0;
    time_point failing_since_{};
    time_point last_failure_{};
    time_point started_{};
    duration back_off_{};
    net::timer_id timer_ = 0;
    std::unique_ptr<short_call> call_;
    bool failing_ = false;
    bool in_contact_ = false;
};

} // namespace lovagegate::gateway

#endif
