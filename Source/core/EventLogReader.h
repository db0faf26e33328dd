#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

// One line of a daemon's structured log, as written by EventLog.
struct LoggedEvent {
    double time { 0 }; // Seconds since 1970, by the instance's clock
    std::string instance;
    std::string event;
    std::string request; // Request identifier; empty when the event concerns no request
    std::string fields;  // All other non-empty fields as "name=value", separated by spaces
};

// Returns the events of one request and of the calls made on its behalf, oldest first. Text before the first brace of a line
// and lines without an event are skipped.
std::vector<LoggedEvent> readRequestTrace(std::istream&, std::string_view requestID);
// Formats the event as one human-readable line, with its time as an offset in seconds from `firstTime`.
std::string describeEvent(const LoggedEvent&, double firstTime);

} // namespace shallot
