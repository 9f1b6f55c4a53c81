#ifndef LOVAGEGATE_CRASHES_MISSED_NOTICES_HPP
#define LOVAGEGATE_CRASHES_MISSED_NOTICES_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::crashes {

/// Decides when an instance may have missed what others tell only once: at its
/// start, after a pause of its process, and after it heard nobody for a while.
/// It asks another instance then. After its start it serves once it has the
/// answer, or nobody seems to have one.
class missed_notices
{
public:
    /// @param first_start whether all instances start now, with nothing to tell
    missed_notices(time_point start, bool first_start)
        : start_(start), must_ask_(!first_start), may_serve_(first_start)
    {
    }

    /// Called when another instance is heard.
    /// @return whether it is to be asked now
    bool on_heard(time_point now);

    /// Called after a pause of the process.
    void on_pause() { must_ask_ = true; }

    /// Called when an instance has answered.
    void on_answer();

    /// @return whether another instance is to be asked, until one has answered
    [[nodiscard]] bool must_ask() const noexcept { return must_ask_; }

    /// @return whether callers may be sent to this instance
    [[nodiscard]] bool may_serve(time_point now) const;

private:
    time_point start_;
    time_point last_heard_{};
    bool must_ask_;
    bool may_serve_;
};

} // namespace lovagegate::crashes

#endif
