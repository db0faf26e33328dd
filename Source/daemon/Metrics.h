#pragma once

#include "core/ErrorKind.h"
#include "core/Time.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <string>

namespace shallot {

// Request counts and latencies by organisation. Requests on open routes count under "(open)".
class Metrics {
public:
    void record(const std::string& organisation, ErrorKind, Duration latency);

    // Prometheus text format.
    std::string format() const;
    // Latency in seconds that the given quantile (0 to 1) of an organisation's responses stayed below; 0 without responses.
    double quantileSeconds(const std::string& organisation, double quantile) const;

    static constexpr size_t kindCount = static_cast<size_t>(ErrorKind::Count);

    struct Row {
        std::array<uint64_t, kindCount> counts {}; // By kind; None counts responses of backend servers
        boost::histogram::histogram<std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>
            latency;

        Row();
    };

    const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
};

} // namespace shallot
