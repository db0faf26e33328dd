#include "core/EventLog.h"

#include "core/Time.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace shallot {

namespace {

constexpr size_t maximumBufferedBytes = 256 * 1024; // A few seconds of lines under the heaviest load
constexpr size_t flushBytes = 16 * 1024;            // Flushed at this size, so that a killed process loses little
constexpr double linesPerSecond = 400;              // Above this rate lines are dropped and counted
constexpr double burstLines = 800;
constexpr auto lastFlushTime = std::chrono::milliseconds(50); // Part of the time that is reserved at the end of a shutdown

struct State {
    bool isOpen { false };
    std::string instance;
    std::string buffer;
    std::atomic<bool> isBufferChanging { false }; // A signal handler must not read it then
    double tokens { burstLines };
    TimePoint refillTime {};
    uint64_t dropped { 0 };
    uint64_t droppedSinceLine { 0 };
};

State& state()
{
    static State instance;
    return instance;
}

void appendText(std::string& line, std::string_view text)
{
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\')
            line += '\\';
        if (static_cast<unsigned char>(c) < ' ')
            line += ' ';
        else
            line += c;
    }
    line += '"';
}

void appendNumber(std::string& line, double number)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.6g", std::isfinite(number) ? number : 0.0);
    line += text.data();
}

void appendValue(std::string& line, const EventField& field)
{
    if (const auto* text = std::get_if<std::string_view>(&field.value))
        appendText(line, *text);
    else if (const auto* number = std::get_if<double>(&field.value))
        appendNumber(line, *number);
    else if (const auto* integer = std::get_if<int64_t>(&field.value))
        line += std::to_string(*integer);
    else
        line += std::get<bool>(field.value) ? "true" : "false";
}

std::string beginLine(std::string_view event)
{
    timespec time {};
    clock_gettime(CLOCK_REALTIME, &time);
    std::array<char, 40> timestamp {};
    std::snprintf(
        timestamp.data(), timestamp.size(), "%lld.%03ld", static_cast<long long>(time.tv_sec), time.tv_nsec / 1'000'000);
    std::string line = std::string("{\"time\":") + timestamp.data() + ",\"instance\":";
    appendText(line, state().instance);
    line += ",\"event\":";
    appendText(line, event);
    return line;
}

// A line that is written by a signal handler, which must not allocate memory.
class FixedLine {
public:
    void append(std::string_view text)
    {
        for (const char c : text) {
            if (m_size < m_text.size())
                m_text[m_size++] = c;
        }
    }
    void appendQuoted(std::string_view text)
    {
        append("\"");
        for (const char c : text)
            append(std::string_view(isPlain(c) ? &c : " ", 1));
        append("\"");
    }
    void appendNumber(int64_t number)
    {
        std::array<char, 24> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        append({ digits.data(), static_cast<size_t>(end - digits.data()) });
    }
    std::string_view text() const { return { m_text.data(), m_size }; }

private:
    static bool isPlain(char c) { return c != '"' && c != '\\' && static_cast<unsigned char>(c) >= ' '; }

    std::array<char, 512> m_text {};
    size_t m_size { 0 };
};

// Returns whether all of it was written by then. May be called by a signal handler.
bool writeUntil(std::string_view text, TimePoint until)
{
    while (!text.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - MonotonicClock::now());
        if (remaining <= std::chrono::milliseconds::zero() || (written < 0 && errno != EAGAIN && errno != EINTR))
            return false;
        text.remove_prefix(static_cast<size_t>(std::max<ssize_t>(written, 0)));
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        if (!text.empty())
            poll(&output, 1, static_cast<int>(remaining.count()));
    }
    return true;
}

bool tryTakeToken()
{
    auto& log = state();
    const auto now = MonotonicClock::now();
    log.tokens = std::min(burstLines, log.tokens + linesPerSecond * toSeconds(now - log.refillTime));
    log.refillTime = now;
    if (log.tokens < 1 || log.buffer.size() > maximumBufferedBytes)
        return false;
    log.tokens -= 1;
    return true;
}

} // namespace

void EventLog::open(std::string_view instance)
{
    state().instance = instance;
    state().isOpen = true;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::write(std::string_view event, std::initializer_list<EventField> fields)
{
    auto& log = state();
    if (!log.isOpen)
        return;
    if (!tryTakeToken()) {
        ++log.dropped;
        ++log.droppedSinceLine;
        return;
    }
    std::string line = beginLine(event);
    if (const auto dropped = std::exchange(log.droppedSinceLine, 0))
        line += ",\"dropped_lines\":" + std::to_string(dropped);
    for (const auto& field : fields) {
        line += ",\"";
        line += field.name;
        line += "\":";
        appendValue(line, field);
    }
    line += "}\n";
    log.isBufferChanging = true;
    log.buffer += line;
    log.isBufferChanging = false;
    if (log.buffer.size() >= flushBytes)
        flush();
}

void EventLog::flush()
{
    auto& log = state();
    if (log.buffer.empty())
        return;
    const ssize_t written = ::write(STDOUT_FILENO, log.buffer.data(), log.buffer.size());
    if (written <= 0)
        return;
    log.isBufferChanging = true;
    log.buffer.erase(0, static_cast<size_t>(written));
    log.isBufferChanging = false;
}

void EventLog::writeProcessEnd(int signal, std::string_view detail)
{
    const auto& log = state();
    if (!log.isOpen)
        return;
    timespec time {};
    clock_gettime(CLOCK_REALTIME, &time);
    FixedLine line;
    line.append("{\"time\":");
    line.appendNumber(time.tv_sec);
    line.append(",\"instance\":");
    line.appendQuoted(log.instance);
    line.append(",\"event\":\"process-end\",\"signal\":");
    line.appendNumber(signal);
    line.append(",\"detail\":");
    line.appendQuoted(detail);
    line.append("}\n");
    const auto until = MonotonicClock::now() + lastFlushTime;
    writeUntil(log.isBufferChanging ? std::string_view {} : std::string_view(log.buffer), until);
    writeUntil(line.text(), until);
}

uint64_t EventLog::droppedLines()
{
    return state().dropped;
}

void EventLog::flushAtEnd()
{
    const auto& buffer = state().buffer;
    const auto until = MonotonicClock::now() + lastFlushTime;
    for (flush(); !buffer.empty() && MonotonicClock::now() < until; flush()) {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - MonotonicClock::now());
        poll(&output, 1, static_cast<int>(remaining.count()));
        if (output.revents & (POLLERR | POLLNVAL))
            return; // Nobody reads
    }
}

} // namespace shallot
