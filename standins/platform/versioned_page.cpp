#include "standins/platform/versioned_page.hpp"

#include "lovagegate/settings/units.hpp"
#include "standins/common/json_answer.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::standins {

namespace {

constexpr duration longest_wait = 10min;

} // namespace

void versioned_page::publish(std::string text)
{
    newest_ = {newest_.index + 1, std::move(text)};
    if (mode_ == platform_mode::up) {
        answer_all();
    }
}

void versioned_page::set_mode(platform_mode mode)
{
    if (mode == platform_mode::stale && mode_ != platform_mode::stale) {
        stale_ = newest_;
    }
    mode_ = mode;
    if (mode_ != platform_mode::stale) {
        answer_all();
    }
}

void versioned_page::read(const net::exchange_ptr& e)
{
    ++reads_;
    const auto known =
        settings::parse_count(e->request().argument("index")).value_or(0);
    const auto wait =
        settings::parse_duration(e->request().argument("wait")).value_or(0s);
    if (mode_ == platform_mode::down || known != shown().index || wait <= 0s) {
        answer(*e);
        return;
    }
    waiting_.push_back(e);
    loop_.call_later(std::min(wait, longest_wait),
                     [this, weak = std::weak_ptr(e)] {
                         const auto late = weak.lock();
                         if (late && std::find(waiting_.begin(), waiting_.end(),
                                               late) != waiting_.end()) {
                             waiting_.remove(late);
                             answer(*late);
                         }
                     });
}

void versioned_page::answer(net::exchange& e) const
{
    if (mode_ == platform_mode::down) {
        respond(e, http::internal_error, {{"error", "down"}});
        return;
    }
    e.respond(http::ok,
              {{"Content-Type", "application/json"},
               {"X-Consul-Index", std::to_string(shown().index)}},
              shown().text);
}

void versioned_page::answer_all()
{
    for (const auto& e : std::exchange(waiting_, {})) {
        answer(*e);
    }
}

} // namespace lovagegate::standins
