#include "nutmegtide/base/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <limits>
#include <sstream>

namespace nutmegtide {

namespace {

namespace bh = boost::histogram;

// Upper bounds in seconds.
constexpr std::array<double, 17> Bounds = {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005,
                                           0.01,   0.025,   0.05,   0.1,   0.25,   0.5,
                                           1.0,    2.5,     5.0,    10.0,  30.0};

using Axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using Cells = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = bh::histogram<std::tuple<Axis>, Cells>;

// Boost's bins include their lower bound, those of Prometheus their upper one.
double nextAbove(double bound)
{
    return std::nextafter(bound, std::numeric_limits<double>::infinity());
}

std::vector<double> edges()
{
    std::vector<double> edges = {-std::numeric_limits<double>::infinity()};
    for (const double bound : Bounds)
        edges.push_back(nextAbove(bound));
    return edges;
}

bool isMetricName(const std::string &name)
{
    const auto isLetter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == ':';
    };
    const auto isLetterOrDigit = [&](char c) { return isLetter(c) || (c >= '0' && c <= '9'); };
    return !name.empty() && isLetter(name.front())
            && std::all_of(name.begin(), name.end(), isLetterOrDigit);
}

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text;
}

std::string escapedHelp(const std::string &help)
{
    std::string text;
    for (const char c : help) {
        if (c == '\\') {
            text += "\\\\";
        } else if (c == '\n') {
            text += "\\n";
        } else {
            text += c;
        }
    }
    return text;
}

std::string labelsText(const MetricLabels &labels)
{
    const std::array<std::pair<const char *, const std::string *>, 3> rows = {{
            {"database", &labels.database.text()},
            {"server_role", &labels.serverRole},
            {"type", &labels.type},
    }};
    std::string text;
    for (const auto &[key, value] : rows) {
        if (!value->empty())
            text += (text.empty() ? "" : ",") + std::string(key) + "=\"" + escaped(*value) + '"';
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : '{' + labels + '}';
}

void writeHead(std::ostream &out, const std::string &name, const std::string &help, const char *type)
{
    out << "# HELP " << name << ' ' << escapedHelp(help) << '\n';
    out << "# TYPE " << name << ' ' << type << '\n';
}

template <typename Families>
void writeValues(std::ostream &out, const Families &families, const char *type)
{
    for (const auto &[name, family] : families) {
        writeHead(out, name, family.help, type);
        for (const auto &[labels, metric] : family.series)
            out << name << braced(labels) << ' ' << metric.value() << '\n';
    }
}

void writeLatency(std::ostream &out, const std::string &name, const std::string &labels,
                  const LatencyHistogram &metric)
{
    const std::string before = labels.empty() ? "" : labels + ',';
    const auto buckets = metric.buckets();
    for (const auto &bucket : buckets) {
        out << name << "_bucket{" << before << "le=\"";
        if (bucket.upperSeconds == std::numeric_limits<double>::infinity()) {
            out << "+Inf";
        } else {
            out << bucket.upperSeconds;
        }
        out << "\"} " << bucket.count << '\n';
    }
    out << name << "_sum" << braced(labels) << ' ' << metric.sumSeconds() << '\n';
    out << name << "_count" << braced(labels) << ' ' << buckets.back().count << '\n';
}

} // namespace

struct LatencyHistogram::Storage
{
    Histogram histogram {Axis(edges())};
    std::atomic<std::int64_t> sumNanoseconds {0};
};

LatencyHistogram::LatencyHistogram()
    : m_storage(std::make_unique<Storage>())
{ }

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::observe(Duration duration)
{
    using std::chrono::duration_cast;
    m_storage->histogram(std::chrono::duration<double>(duration).count());
    m_storage->sumNanoseconds += duration_cast<std::chrono::nanoseconds>(duration).count();
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> buckets;
    std::uint64_t count = 0;
    for (std::size_t i = 0; i <= Bounds.size(); ++i) {
        count += m_storage->histogram.at(static_cast<int>(i)).load();
        const bool isLast = i == Bounds.size();
        buckets.push_back({isLast ? std::numeric_limits<double>::infinity() : Bounds.at(i), count});
    }
    return buckets;
}

double LatencyHistogram::sumSeconds() const
{
    return std::chrono::duration<double>(std::chrono::nanoseconds(m_storage->sumNanoseconds)).count();
}

template <typename Metric>
Metric &MetricRegistry::find(Families<Metric> &families, const std::string &name,
                             const std::string &help, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    checkName(name, &families);
    Family<Metric> &family = families[name];
    if (family.help.empty())
        family.help = help;
    return family.series[labelsText(labels)];
}

Counter &MetricRegistry::counter(const std::string &name, const std::string &help,
                                 const MetricLabels &labels)
{
    return find(m_counters, name, help, labels);
}

Gauge &MetricRegistry::gauge(const std::string &name, const std::string &help,
                             const MetricLabels &labels)
{
    return find(m_gauges, name, help, labels);
}

LatencyHistogram &MetricRegistry::latency(const std::string &name, const std::string &help,
                                          const MetricLabels &labels)
{
    return find(m_latencies, name, help, labels);
}

void MetricRegistry::checkName(const std::string &name, const void *families) const
{
    if (!isMetricName(name))
        throw MetricError("malformed metric name: " + name);
    const auto isTakenBy = [&](const auto &others) {
        return &others != families && others.contains(name);
    };
    if (isTakenBy(m_counters) || isTakenBy(m_gauges) || isTakenBy(m_latencies))
        throw MetricError("metric " + name + " is of another kind");
}

std::string MetricRegistry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    writeValues(out, m_counters, "counter");
    writeValues(out, m_gauges, "gauge");
    for (const auto &[name, family] : m_latencies) {
        writeHead(out, name, family.help, "histogram");
        for (const auto &[labels, metric] : family.series)
            writeLatency(out, name, labels, metric);
    }
    return out.str();
}

} // namespace nutmegtide
