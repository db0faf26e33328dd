#include "daemon/Metrics.h"

#include <sstream>

namespace shallot {

namespace {

constexpr size_t maximumRows = 20'000;
constexpr unsigned latencyBins = 80;
constexpr double minimumLatencySeconds = 1e-5;
constexpr double maximumLatencySeconds = 100;

} // namespace

Metrics::Row::Row()
    : latency(boost::histogram::make_histogram(boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
        latencyBins, minimumLatencySeconds, maximumLatencySeconds)))
{
}

void Metrics::record(const std::string& organisation, ErrorKind kind, Duration latency)
{
    const std::string name = organisation.empty() ? "(open)" : organisation;
    if (m_rows.size() >= maximumRows && !m_rows.contains(name))
        return;
    auto& row = m_rows[name];
    ++row.counts[std::min(static_cast<size_t>(kind), kindCount - 1)];
    if (kind == ErrorKind::None)
        row.latency(toSeconds(latency));
}

double Metrics::quantileSeconds(const std::string& organisation, double quantile) const
{
    const auto found = m_rows.find(organisation);
    if (found == m_rows.end())
        return 0;
    const auto& histogram = found->second.latency;
    const double targetCount = quantile * boost::histogram::algorithm::sum(histogram);
    double cumulativeCount = 0;
    for (const auto& cell : boost::histogram::indexed(histogram)) {
        cumulativeCount += *cell;
        if (cumulativeCount >= targetCount && cumulativeCount > 0)
            return cell.bin().upper();
    }
    return 0;
}

std::string Metrics::format() const
{
    std::ostringstream text;
    text << "# TYPE shallot_requests_total counter\n";
    for (const auto& [organisation, row] : m_rows) {
        for (size_t kind = 0; kind < kindCount; ++kind) {
            if (row.counts[kind]) {
                text << "shallot_requests_total{organisation=\"" << organisation << "\",outcome=\""
                     << errorInfo(static_cast<ErrorKind>(kind)).name << "\"} " << row.counts[kind] << "\n";
            }
        }
    }
    text << "# TYPE shallot_latency_seconds summary\n";
    for (const auto& [organisation, row] : m_rows) {
        for (const double quantile : { 0.5, 0.99 })
            text << "shallot_latency_seconds{organisation=\"" << organisation << "\",quantile=\"" << quantile << "\"} "
                 << quantileSeconds(organisation, quantile) << "\n";
    }
    return text.str();
}

} // namespace shallot
