#include "sidecar/MeshMetrics.h"

#include <algorithm>
#include <sstream>

namespace shallot {

namespace {

constexpr unsigned latencyBins = 24;
constexpr double minimumSeconds = 0.001;
constexpr double maximumSeconds = 10;
constexpr size_t maximumRoutes = 2000; // Routes change with the configuration; further ones share the row "other"

} // namespace

void MeshMetrics::record(const std::string& route, ErrorKind kind, Duration latency)
{
    const std::string& name = m_latencies.contains(route) || m_latencies.size() < maximumRoutes ? route : "other";
    ++m_requests[{ name, kind }];
    if (kind != ErrorKind::None)
        return;
    auto found = m_latencies.find(name);
    if (found == m_latencies.end())
        found = m_latencies.emplace(name, boost::histogram::make_histogram(Axis(latencyBins, minimumSeconds, maximumSeconds)))
                    .first;
    found->second(std::max(minimumSeconds, toSeconds(latency)));
}

std::string MeshMetrics::toText() const
{
    std::ostringstream text;
    text << "# TYPE shallot_requests_total counter\n";
    for (const auto& [key, count] : m_requests) {
        text << "shallot_requests_total{route=\"" << key.first << "\",outcome=\"" << errorInfo(key.second).name << "\"} " << count
             << "\n";
    }
    text << "# TYPE shallot_request_duration_seconds histogram\n";
    for (const auto& [route, histogram] : m_latencies) {
        double total = 0;
        for (const auto& bin : boost::histogram::indexed(histogram)) {
            total += *bin;
            text << "shallot_request_duration_seconds_bucket{route=\"" << route << "\",le=\"" << bin.bin().upper() << "\"} "
                 << total << "\n";
        }
        text << "shallot_request_duration_seconds_count{route=\"" << route << "\"} " << total << "\n";
    }
    for (const auto& [name, value] : m_gauges)
        text << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
    return text.str();
}

} // namespace shallot
