#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace shallot {

// One field of a log line.
struct EventField {
    std::string_view name;
    std::variant<std::string_view, double, int64_t, bool> value;

    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    EventField(std::string_view fieldName, const std::string& text)
        : EventField(fieldName, std::string_view(text))
    {
    }
    EventField(std::string_view fieldName, const char* text)
        : EventField(fieldName, std::string_view(text))
    {
    }
    EventField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    EventField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
    template <typename Integer>
    requires std::is_integral_v<Integer> EventField(std::string_view fieldName, Integer number)
        : name(fieldName)
        , value(static_cast<int64_t>(number))
    {
    }
};

// Structured log: one JSON object per line on standard output. Lines are collected in a bounded buffer, so that writing never
// blocks the main loop. Lines that exceed the buffer or the rate limit are dropped and counted, and the count is logged with the
// next line. docs/OPERATIONS.md lists the events and their fields.
class EventLog {
public:
    // Enables the log and sets the instance name for every line. Makes standard output non-blocking.
    static void open(std::string_view instance);
    static void write(std::string_view event, std::initializer_list<EventField>);
    // Writes as much of the buffer as standard output accepts.
    static void flush();
    // Waits up to 50 ms for a reader that is behind; for the last lines of a process.
    static void flushAtEnd();
    // Writes the buffer and, whatever the rate limit, a line "process-end"; waits as flushAtEnd() does. May be called by the
    // handler of a fatal signal. `signal` is zero if there was none, `detail` may be empty.
    static void writeProcessEnd(int signal, std::string_view detail);
    static uint64_t droppedLines();
};

} // namespace shallot
