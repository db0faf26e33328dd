#pragma once

#include "core/ErrorKind.h"
#include "core/Time.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <string>

namespace shallot {

// Counts and latencies by organisation. Open routes count under "(open)".
class Metrics {
public:
    void record(const std::string& organisation, ErrorKind, Duration latency);

    // Prometheus text format.
    std::string format() const;
    // Latency that the given part of an organisation's answers stayed below; 0 without answers.
    double quantileSeconds(const std::string& organisation, double part) const;

    static constexpr size_t kindCount = static_cast<size_t>(ErrorKind::Count);

    struct Row {
        std::array<uint64_t, kindCount> counts {}; // By kind; None counts answers of the backend servers
        boost::histogram::histogram<std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>
            latency;

        Row();
    };

    const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
};

} // namespace shallot
