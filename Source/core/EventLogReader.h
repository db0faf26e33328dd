#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

// One line of a daemon's structured log; see EventLog.
struct LoggedEvent {
    double time { 0 }; // Seconds since 1970, by the clock of its instance
    std::string instance;
    std::string event;
    std::string request; // Empty when the event concerns no request
    std::string fields;  // The others, as "name=value" by name
};

// Events of one request and of the calls made on its behalf, oldest first. Text before a line's first brace and lines that
// are no events are passed over.
std::vector<LoggedEvent> readRequestTrace(std::istream&, std::string_view requestID);
// One line for a person.
std::string describeEvent(const LoggedEvent&, double firstTime);

} // namespace shallot
