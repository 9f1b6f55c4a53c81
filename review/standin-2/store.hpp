#ifndef LOVAGEGATE_REVIEW_STANDIN_2_STORE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_STORE_HPP

#include "http.hpp"

#include <condition_variable>
#include <memory>

namespace review {

/// The platform's metadata store: items with revisions, reads and watches.
/// Each machine reaches it at an address of its own, which tells the machines
/// apart.
class store
{
public:
    explicit store(const std::vector<endpoint>& one_for_each_machine);
    ~store();

    /// Writes an item.
    /// @return time of the acknowledgement
    std::int64_t put(const std::string& key, const std::string& value);

    /// Removes an item.
    /// @return time of the acknowledgement
    std::int64_t remove(const std::string& key);

    /// While the store is down, it answers every call with 503.
    void set_down(bool down);

    /// @return machines that have sent a watch in the last second, the ones
    ///         with the newest watch first
    [[nodiscard]] std::vector<std::size_t> watching_machines() const;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void serve(std::size_t machine, int fd);
    std::string read_range(const std::map<std::string, std::string>& query);
    std::string watch(std::size_t machine,
                      const std::map<std::string, std::string>& query);
    std::string events_after(const std::string& prefix,
                             std::uint64_t revision) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::size_t, std::int64_t> last_watch_;
    std::uint64_t revision_ = 1;
    bool down_ = false;
    bool stopping_ = false;
    std::vector<std::unique_ptr<server>> servers_;
};

} // namespace review

#endif
