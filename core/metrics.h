#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipestream
{

/// Labels of a metric in a fixed order, such as {{"team", "studio"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A count that never decreases.
class Counter
{
public:
    void add(uint64_t amount = 1);
    [[nodiscard]] auto value() const -> uint64_t;

private:
    uint64_t value_ = 0;
};

/// A value that rises and falls.
class Gauge
{
public:
    void set(double value);
    [[nodiscard]] auto value() const -> double;

private:
    double value_ = 0;
};

/// Count, sum and estimated quantiles of a stream of observations (Boost.Accumulators).
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(Summary &&) noexcept;
    Summary(const Summary &) = delete;
    auto operator=(const Summary &) -> Summary & = delete;
    auto operator=(Summary &&) noexcept -> Summary &;

    void observe(double value);
    [[nodiscard]] auto count() const -> uint64_t;
    [[nodiscard]] auto sum() const -> double;
    /// Returns the estimated quantile; `probability` is one of 0.5, 0.9 and 0.99. Zero before the first observation.
    [[nodiscard]] auto quantile(double probability) const -> double;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> accumulators_;
};

/// Observations counted in fixed buckets, so that the counts of several nodes can be added up. Bounds are in seconds and
/// cover the target latencies and deadlines that operators set, from 10 ms to 10 s.
class Histogram
{
public:
    static constexpr std::array<double, 11> kBounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 5, 10};

    void observe(double value);
    /// Returns the number of observations up to the bound with this index; index kBounds.size() counts all.
    [[nodiscard]] auto countUpTo(size_t index) const -> uint64_t;
    [[nodiscard]] auto sum() const -> double;

private:
    std::array<uint64_t, kBounds.size() + 1> buckets_{};
    double sum_ = 0;
};

/// All metrics of a process. Returned references stay valid for the registry's lifetime, so hot paths look up a metric only once.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    auto operator=(const MetricsRegistry &) -> MetricsRegistry & = delete;

    auto counter(const std::string &name, const std::string &help, const MetricLabels &labels = {}) -> Counter &;
    auto gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {}) -> Gauge &;
    auto summary(const std::string &name, const std::string &help, const MetricLabels &labels = {}) -> Summary &;

    auto histogram(const std::string &name, const std::string &help, const MetricLabels &labels = {}) -> Histogram &;

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] auto renderPrometheus() const -> std::string;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace snipestream
