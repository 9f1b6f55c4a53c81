#ifndef LOVAGEGATE_REVIEW_STANDIN_3_QUICK_STORE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_3_QUICK_STORE_HPP

#include "review/standin-3/http.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace lovagegate::review {

/// The platform's store, for large values: what it answers is encoded when it
/// is written, so that an answer takes no longer than its bytes do.
class quick_store
{
public:
    explicit quick_store(net::event_loop& loop);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    void put(const std::string& key, const std::string& value);
    /// Drops the history: watches from before get 410.
    void compact();
    [[nodiscard]] duration slowest() const { return slowest_; }

private:
    struct change
    {
        std::string key;
        std::string text; ///< as JSON
        std::uint64_t revision = 0;
    };
    struct waiting
    {
        connection_ptr to;
        std::string prefix;
        std::uint64_t after = 0;
        time_point until{};
    };

    void on_request(const connection_ptr& c, const request& r);
    void answer(const connection_ptr& c, const char* list,
                const std::vector<const change*>& items);
    [[nodiscard]] std::vector<const change*> changes(const std::string& prefix,
                                                     std::uint64_t after) const;
    void check_watches();
    void check_often();

    net::event_loop& loop_;
    std::map<std::string, change> items_;
    std::list<change> history_;
    std::list<waiting> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    duration slowest_{};
    http_server server_;
};

} // namespace lovagegate::review

#endif
