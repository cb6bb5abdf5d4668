#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace snipestream
{

namespace ba = boost::accumulators;

namespace
{

constexpr std::array<double, 3> kProbabilities = {0.5, 0.9, 0.99};

auto escapeLabel(const std::string &value) -> std::string
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped.push_back('\\');
        }
        if (c == '\n') {
            escaped.append("\\n");
            continue;
        }
        escaped.push_back(c);
    }
    return escaped;
}

auto renderLabels(const MetricLabels &labels, const std::string &extra = {}) -> std::string
{
    if (labels.empty() && extra.empty()) {
        return {};
    }
    std::string text = "{";
    for (const auto &[name, value] : labels) {
        text.append(text.size() > 1 ? "," : "").append(name).append("=\"").append(escapeLabel(value)).append("\"");
    }
    if (!extra.empty()) {
        text.append(text.size() > 1 ? "," : "").append(extra);
    }
    return text + "}";
}

} // namespace

void Counter::add(uint64_t amount)
{
    value_ += amount;
}

auto Counter::value() const -> uint64_t
{
    return value_;
}

void Gauge::set(double value)
{
    value_ = value;
}

auto Gauge::value() const -> double
{
    return value_;
}

struct Summary::Accumulators {
    ba::accumulator_set<double, ba::stats<ba::tag::count, ba::tag::sum, ba::tag::extended_p_square_quantile>> set{ba::extended_p_square_probabilities =
                                                                                                                      kProbabilities};
    double last = 0;
};

Summary::Summary()
    : accumulators_(std::make_unique<Accumulators>())
{
}

Summary::~Summary() = default;
Summary::Summary(Summary &&) noexcept = default;
auto Summary::operator=(Summary &&) noexcept -> Summary & = default;

void Summary::observe(double value)
{
    accumulators_->set(value);
    accumulators_->last = value;
}

auto Summary::count() const -> uint64_t
{
    return ba::count(accumulators_->set);
}

auto Summary::sum() const -> double
{
    return ba::sum(accumulators_->set);
}

auto Summary::quantile(double probability) const -> double
{
    // The estimator's markers are not sorted until it has seen a few observations.
    if (count() < 8) {
        return accumulators_->last;
    }
    return ba::quantile(accumulators_->set, ba::quantile_probability = probability);
}

void Histogram::observe(double value)
{
    const auto bucket = std::lower_bound(kBounds.begin(), kBounds.end(), value) - kBounds.begin();
    ++buckets_[static_cast<size_t>(bucket)];
    sum_ += value;
}

auto Histogram::countUpTo(size_t index) const -> uint64_t
{
    return std::accumulate(buckets_.begin(), buckets_.begin() + static_cast<std::ptrdiff_t>(index) + 1, uint64_t{0});
}

auto Histogram::sum() const -> double
{
    return sum_;
}

struct MetricsRegistry::Families {
    template<typename Metric>
    struct Family {
        std::string help;
        std::map<MetricLabels, Metric> rows;
    };
    std::map<std::string, Family<Counter>> counters;
    std::map<std::string, Family<Gauge>> gauges;
    std::map<std::string, Family<Summary>> summaries;
    std::map<std::string, Family<Histogram>> histograms;

    template<typename Metric>
    static auto row(std::map<std::string, Family<Metric>> &families, const std::string &name, const std::string &help, const MetricLabels &labels) -> Metric &
    {
        auto &family = families[name];
        family.help = help;
        return family.rows[labels];
    }
};

MetricsRegistry::MetricsRegistry()
    : families_(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

auto MetricsRegistry::counter(const std::string &name, const std::string &help, const MetricLabels &labels) -> Counter &
{
    return Families::row(families_->counters, name, help, labels);
}

auto MetricsRegistry::gauge(const std::string &name, const std::string &help, const MetricLabels &labels) -> Gauge &
{
    return Families::row(families_->gauges, name, help, labels);
}

auto MetricsRegistry::summary(const std::string &name, const std::string &help, const MetricLabels &labels) -> Summary &
{
    return Families::row(families_->summaries, name, help, labels);
}

auto MetricsRegistry::histogram(const std::string &name, const std::string &help, const MetricLabels &labels) -> Histogram &
{
    return Families::row(families_->histograms, name, help, labels);
}

auto MetricsRegistry::renderPrometheus() const -> std::string
{
    std::ostringstream out;
    const auto writeHeader = [&out](const std::string &name, const std::string &help, const char *type) {
        out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    };
    for (const auto &[name, family] : families_->counters) {
        writeHeader(name, family.help, "counter");
        for (const auto &[labels, metric] : family.rows) {
            out << name << renderLabels(labels) << ' ' << metric.value() << '\n';
        }
    }
    for (const auto &[name, family] : families_->gauges) {
        writeHeader(name, family.help, "gauge");
        for (const auto &[labels, metric] : family.rows) {
            out << name << renderLabels(labels) << ' ' << metric.value() << '\n';
        }
    }
    for (const auto &[name, family] : families_->summaries) {
        writeHeader(name, family.help, "summary");
        for (const auto &[labels, metric] : family.rows) {
            for (const double probability : kProbabilities) {
                std::ostringstream quantile;
                quantile << "quantile=\"" << probability << '"';
                out << name << renderLabels(labels, quantile.str()) << ' ' << metric.quantile(probability) << '\n';
            }
            out << name << "_sum" << renderLabels(labels) << ' ' << metric.sum() << '\n';
            out << name << "_count" << renderLabels(labels) << ' ' << metric.count() << '\n';
        }
    }
    for (const auto &[name, family] : families_->histograms) {
        writeHeader(name, family.help, "histogram");
        for (const auto &[labels, metric] : family.rows) {
            for (size_t i = 0; i <= Histogram::kBounds.size(); ++i) {
                std::ostringstream bound;
                bound << "le=\"";
                if (i < Histogram::kBounds.size()) {
                    bound << Histogram::kBounds[i];
                } else {
                    bound << "+Inf";
                }
                bound << '"';
                out << name << "_bucket" << renderLabels(labels, bound.str()) << ' ' << metric.countUpTo(i) << '\n';
            }
            out << name << "_sum" << renderLabels(labels) << ' ' << metric.sum() << '\n';
            out << name << "_count" << renderLabels(labels) << ' ' << metric.countUpTo(Histogram::kBounds.size()) << '\n';
        }
    }
    return out.str();
}

} // namespace snipestream
