#ifndef LOVAGEGATE_REVIEW_STANDIN_STORE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_STORE_HPP

#include "net.hpp"
#include "record.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::review {

/// The platform's metadata store, with one address for each machine, so that a
/// machine can be cut off from it.
class store
{
public:
    store(record& log, const std::string& ip, std::size_t machines);

    /// @return port at which the machine reaches the store
    [[nodiscard]] std::uint16_t port(std::size_t machine) const
    {
        return ports_.at(machine);
    }

    /// Writes an item.
    /// @return time of the acknowledgement
    std::int64_t put(const std::string& key, const nlohmann::json& value);
    /// @return time of the acknowledgement
    std::int64_t remove(const std::string& key);
    /// @return the value, null if there is none
    [[nodiscard]] nlohmann::json value(const std::string& key);

    /// @return whether the machine waits for changes of keys with the prefix
    [[nodiscard]] bool is_watching(std::size_t machine,
                                   const std::string& prefix);

    /// Holds back all bytes between the store and the machine, or lets them go.
    void cut(std::size_t machine, bool on);

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    bool serve(std::size_t machine, channel& c, const message& request);
    void wait_until_linked(std::size_t machine);
    nlohmann::json range(const std::string& prefix, const std::string& after);
    nlohmann::json watch(std::size_t machine, const std::string& prefix,
                         std::uint64_t after, milliseconds wait);
    nlohmann::json events_after(const std::string& prefix, std::uint64_t after);

    record& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::vector<std::uint16_t> ports_;
    std::vector<bool> cut_;
    /// Open watches, by machine and prefix.
    std::map<std::pair<std::size_t, std::string>, int> watches_;
};

} // namespace lovagegate::review

#endif
