#ifndef LOVAGEGATE_DRAINING_EXPIRY_DOUBT_HPP
#define LOVAGEGATE_DRAINING_EXPIRY_DOUBT_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::draining {

/// Decides until when a deleted entry may merely have expired while the store
/// was away. That time begins with the return of the store: the targets that
/// live have written their entries again soon after it.
class expiry_doubt
{
public:
    /// @param stable_window time from the return of the store, or of the path
    ///        to it, until the drain limit holds again
    explicit expiry_doubt(duration stable_window)
        : stable_window_(stable_window)
    {
    }

    /// Called when the store didn't answer a call, or refused it.
    /// @param sent when the call was sent: the store may have returned since
    void on_call_failed(time_point sent);

    /// Called when the store has answered a call, before the answer is used.
    void on_answer(time_point now);

    /// Called when the store turns out to have been restored from a copy, which
    /// lacks entries that targets write again.
    void on_restored(time_point now);

    /// Called when another instance says until when deletions are in doubt.
    void on_told(time_point until);

    /// @return end of the time in which a deletion that is learnt may be a mere
    ///         expiry; in the past if there is no doubt. A store that is away
    ///         tells of no deletions, so its return is what starts that time.
    [[nodiscard]] time_point until() const noexcept { return until_; }

    /// @return the same as a time from now on, zero if there is no doubt
    [[nodiscard]] duration left(time_point now) const;

private:
    /// @param noticed when the return of the store was noticed
    /// @param earliest when it may have returned
    void end_after_return(time_point noticed, time_point earliest);

    duration stable_window_;
    bool away_ = false;
    time_point last_failed_sent_{};
    time_point last_answer_{};
    time_point until_{};
};

} // namespace lovagegate::draining

#endif
