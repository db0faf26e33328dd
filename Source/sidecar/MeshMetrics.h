#pragma once

#include "core/ErrorKind.h"
#include "core/Time.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shallot {

// Counters and latency histograms of one daemon in the Prometheus text format.
class MeshMetrics {
public:
    void record(const std::string& route, ErrorKind, Duration latency);
    void setGauge(const std::string& name, double value) { m_gauges[name] = value; }
    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    std::map<std::pair<std::string, ErrorKind>, uint64_t> m_requests;
    std::map<std::string, Histogram> m_latencies; // By route, in seconds
    std::map<std::string, double> m_gauges;
};

} // namespace shallot
