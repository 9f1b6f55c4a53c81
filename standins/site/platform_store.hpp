#ifndef LOVAGEGATE_STANDINS_SITE_PLATFORM_STORE_HPP
#define LOVAGEGATE_STANDINS_SITE_PLATFORM_STORE_HPP

#include "standins/site/scripted_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::standins {

/// Stand-in of the users' metadata store: range reads and watches. Its
/// functions belong to the loop's thread.
class platform_store
{
public:
    /// @param entrances number of ports at which the store can be reached
    explicit platform_store(net::event_loop& loop, std::size_t entrances = 1);

    [[nodiscard]] std::uint16_t port(std::size_t entrance = 0) const
    {
        return entrances_.at(entrance).server->port();
    }

    void put(const std::string& key, const std::string& value);
    void put_config(const std::string& value);
    void put_target(const std::string& id, const std::string& value);
    void remove(const std::string& key);
    void remove_target(const std::string& id);

    /// Calls get 503 while the store is down.
    void set_down(bool down) { down_ = down; }

    /// Leaves calls at one entrance without an answer.
    void set_silent(bool silent, std::size_t entrance = 0)
    {
        entrances_.at(entrance).silent = silent;
    }

    /// Forgets the history: watches from before get 410.
    void compact() { compacted_ = revision_; }

    /// Contents of the store at one time.
    struct copy;

    [[nodiscard]] copy make_copy() const;

    /// Loses all changes since the copy was made, and begins a new era: numbers
    /// of revisions are given out again.
    void restore(const copy& from);

    /// Sets the era that answers name, as it is written.
    void set_era_text(std::string text) { era_text_ = std::move(text); }

    /// Splits the answers to reads into pages.
    /// @param on_page called after each page, and may change the store
    void set_pages(std::size_t items_per_page, std::function<void()> on_page)
    {
        items_per_page_ = items_per_page;
        on_page_ = std::move(on_page);
    }

    /// @param on_watch called when the answer to a watch has been made and not
    ///        sent yet; may change the store
    void set_on_watch(std::function<void()> on_watch)
    {
        on_watch_ = std::move(on_watch);
    }

    /// Breaks the connection of the next calls instead of answering them.
    void cut_next(int calls) { to_cut_ = calls; }

private:
    struct change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    struct access_point
    {
        std::unique_ptr<scripted_server> server;
        bool silent = false;
    };

    script answer(std::size_t entrance, const seen_request& request);
    /// @return an answer with the header that names the era
    [[nodiscard]] std::string with_era(int status,
                                       const std::string& body) const;
    [[nodiscard]] std::string range(const std::string& prefix,
                                    const std::string& after) const;
    [[nodiscard]] std::string changes(const std::string& prefix,
                                      std::uint64_t after) const;

    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t era_ = 1;
    std::optional<std::string> era_text_; ///< instead of the era
    bool down_ = false;
    int to_cut_ = 0;
    std::size_t items_per_page_ = 500;
    std::function<void()> on_page_;
    std::function<void()> on_watch_;
    std::vector<access_point> entrances_;
};

struct platform_store::copy
{
    std::map<std::string, change> items;
    std::vector<change> history;
    std::uint64_t revision = 0;
};

} // namespace lovagegate::standins

#endif
