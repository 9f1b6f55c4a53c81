#ifndef LOVAGEGATE_GATEWAY_ANSWER_MEMORY_HPP
#define LOVAGEGATE_GATEWAY_ANSWER_MEMORY_HPP

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace lovagegate::gateway {

/// Bounds for the bytes of answers that an instance holds at one time.
struct answer_memory_limits
{
    /// What any answer may hold; most answers never hold more.
    std::size_t free_bytes = std::size_t{4} * 1024;
    /// What one read may add to an answer.
    std::size_t read_bytes = std::size_t{8} * 1024;
    /// What all answers may hold beyond that.
    std::size_t shared_bytes = 0;
    /// What the answers of one target may hold of it.
    std::size_t shared_bytes_of_target = 0;
    /// Number of answers that may grow although there is no room.
    std::size_t turns = 0;
    /// The same for the answers of one target.
    std::size_t turns_of_target = 0;
};

/// @param process_bytes memory limit of the process
/// @param largest_answer bytes that one answer may hold
[[nodiscard]] answer_memory_limits
limits_for_process(std::size_t process_bytes, std::size_t largest_answer);

/// Counts the bytes of incomplete and undelivered answers, and decides which
/// answers may be read on. An answer for which there is no room isn't ended:
/// its target waits until there is, or until the answer has a turn. Answers
/// that have a turn may grow to their own limit, so that a long answer is
/// completed although faulty targets have taken all room.
class answer_memory
{
public:
    explicit answer_memory(const answer_memory_limits& limits);
    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;

    /// Part of the memory that one answer holds. Must not outlive the memory.
    class share
    {
    public:
        /// @param on_room called when the answer may be read on after hold()
        ///        has returned false; must not use the memory
        share(answer_memory& memory, std::function<void()> on_room);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Sets what the answer holds.
        /// @param target that sends the answer
        /// @param bytes number of bytes that are held now
        /// @param waits_for_caller whether the answer goes on only after its
        ///        caller has read; such an answer gets no turn
        /// @return whether the answer may be read on
        bool hold(const std::string& target, std::size_t bytes,
                  bool waits_for_caller);

        /// Gives up all that the answer holds.
        void release();

    private:
        friend class answer_memory;

        answer_memory& memory_;
        std::function<void()> on_room_;
        std::string target_;
        std::size_t counted_ = 0; ///< bytes beyond the free ones
        bool has_turn_ = false;
        bool waiting_ = false;
    };

    /// @return bytes that answers hold beyond the free ones
    [[nodiscard]] std::size_t shared_bytes() const noexcept
    {
        return total_.bytes;
    }
    /// @return number of answers that wait for room
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

private:
    struct usage
    {
        std::size_t bytes = 0;
        std::size_t turns = 0;
    };

    void count(share& s, std::size_t bytes);
    /// @return whether the answer had a turn
    bool end_turn(share& s);
    void stop_waiting(share& s);
    [[nodiscard]] bool has_room(const std::string& target) const;
    /// Gives the answer a turn if one is free.
    bool take_turn(share& s);
    /// Lets waiting answers go on, those that have waited longest first.
    void wake();

    answer_memory_limits limits_;
    usage total_;
    std::map<std::string, usage> by_target_;
    std::list<share*> waiting_;
};

} // namespace lovagegate::gateway

#endif
