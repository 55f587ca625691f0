#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegtide {

// What a series is about; empty labels are left out.
struct MetricLabels
{
    DatabaseName database {};
    std::string serverRole {}; // "primary" or "replica"
    std::string type {}; // for example of a failure
};

// A metric name that is malformed, or that stands for a metric of another kind already.
class MetricError : public Error
{
public:
    using Error::Error;
};

// A count that only grows. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value {0};
};

// A value that goes up and down. Thread-safe.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value {0};
};

// Counts durations in buckets from 100 us to 30 s. Thread-safe without a lock.
class LatencyHistogram
{
public:
    struct Bucket
    {
        double upperSeconds; // infinite for the last
        std::uint64_t count; // durations up to the bound, those of lower buckets included
    };

    LatencyHistogram();
    ~LatencyHistogram();

    void observe(Duration duration);
    std::vector<Bucket> buckets() const;
    double sumSeconds() const;

private:
    struct Storage;
    std::unique_ptr<Storage> m_storage;
};

// All metrics of a process. A series is made when it is first asked for, and its reference stays
// valid as long as the registry; keep it instead of asking for each event. Thread-safe.
//
//   Counter &writes = metrics.counter("nutmegtide_writes_total", "Writes acknowledged.",
//   {database}); writes.add(); answer(metrics.text());
class MetricRegistry
{
public:
    // These throw MetricError.
    Counter &counter(const std::string &name, const std::string &help,
                     const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    LatencyHistogram &latency(const std::string &name, const std::string &help,
                              const MetricLabels &labels = {});

    // Writes all series in the Prometheus text format 0.0.4, sorted by kind, name and labels.
    std::string text() const;

private:
    template <typename Metric>
    struct Family
    {
        std::string help;
        std::map<std::string, Metric> series; // by the written labels
    };
    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template <typename Metric>
    Metric &find(Families<Metric> &families, const std::string &name, const std::string &help,
                 const MetricLabels &labels);
    void checkName(const std::string &name, const void *families) const;

    mutable std::mutex m_mutex;
    Families<Counter> m_counters;
    Families<Gauge> m_gauges;
    Families<LatencyHistogram> m_latencies;
};

} // namespace nutmegtide
