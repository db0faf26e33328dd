#pragma once

namespace shallot {

// Writes an event "process-end" when the process ends by a fatal signal or by an exception that nobody catches. It still ends.
// Call after EventLog::open().
void logFatalSignals();

} // namespace shallot
