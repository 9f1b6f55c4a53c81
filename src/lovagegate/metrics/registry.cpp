#include "lovagegate/metrics/registry.hpp"

#include <iomanip>
#include <sstream>

namespace lovagegate::metrics {

namespace {

constexpr std::string_view prefix = "lovagegate_";

constexpr std::array<std::string_view, timing_count> timing_names = {
    "latency_seconds", "first_token_seconds", "token_gap_seconds",
    "load_stall_seconds"};

/// A name split into the metric's name and its labels with braces.
struct sample_name
{
    std::string_view metric;
    std::string_view labels;
};

sample_name split(std::string_view name)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos) {
        return {name, {}};
    }
    return {name.substr(0, brace), name.substr(brace)};
}

/// Writes samples and the TYPE line before the first sample of a metric.
class page_writer
{
public:
    page_writer() { out_ << std::setprecision(9); }

    template <typename Value>
    void sample(std::string_view type, std::string_view name,
                std::string_view suffix, Value value)
    {
        const sample_name n = split(name);
        const std::string metric =
            std::string(prefix).append(n.metric).append(suffix);
        write_type_line(type, metric);
        out_ << metric << n.labels << ' ' << value << '\n';
    }

    void write(std::string_view metric, const std::string& label,
               const summary& s)
    {
        const std::string full = std::string(prefix).append(metric);
        write_type_line("summary", full);
        const std::string first = label.empty() ? "{" : '{' + label + ',';
        const std::string rest = label.empty() ? "" : '{' + label + '}';
        for (const double q : summary::quantiles) {
            out_ << full << first << "quantile=\"" << q << "\"} "
                 << s.quantile(q) << '\n';
        }
        out_ << full << "_sum" << rest << ' ' << s.sum() << '\n';
        out_ << full << "_count" << rest << ' ' << s.count() << '\n';
    }

    [[nodiscard]] std::string text() const { return out_.str(); }

private:
    void write_type_line(std::string_view type, const std::string& metric)
    {
        if (metric != last_metric_) {
            out_ << "# TYPE " << metric << ' ' << type << '\n';
            last_metric_ = metric;
        }
    }

    std::ostringstream out_;
    std::string last_metric_;
};

} // namespace

void registry::observe(timing what, priority p, duration elapsed,
                       time_point now)
{
    timings_.at(static_cast<std::size_t>(what))
        .at(static_cast<std::size_t>(p))
        .observe(to_seconds(elapsed), now);
}

void registry::observe_batch_fill(double ratio, time_point now)
{
    batch_fill_.observe(ratio, now);
}

const summary& registry::timings(timing what, priority p) const
{
    return timings_.at(static_cast<std::size_t>(what))
        .at(static_cast<std::size_t>(p));
}

std::string registry::page(const counters& counts,
                           std::span<const gauge> gauges) const
{
    page_writer out;
    for (const auto& [name, count] : counts.all()) {
        out.sample("counter", name, "_total", count);
    }
    for (const gauge& g : gauges) {
        out.sample("gauge", g.name, "", g.value);
    }
    for (std::size_t t = 0; t < timing_count; ++t) {
        for (std::size_t p = 0; p < priority_count; ++p) {
            const auto which = static_cast<priority>(p);
            out.write(timing_names.at(t),
                      "priority=\"" + std::string(to_string(which)) + '"',
                      timings_.at(t).at(p));
        }
    }
    out.write("batch_fill", "", batch_fill_);
    return out.text();
}

} // namespace lovagegate::metrics
