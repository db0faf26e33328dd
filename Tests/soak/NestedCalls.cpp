#include "NestedCalls.h"

#include "KeptConnection.h"
#include "platform/Names.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr unsigned fewestCalls = 8; // Of a run that makes many
constexpr unsigned callRange = 7;
constexpr unsigned mostAtOnce = 5;
constexpr unsigned runsPerGivingUp = 4;
constexpr Duration latestGivingUp = 300ms;

// The id of a call is its run's, with the number of the call behind it.
std::string runOf(const std::string& id)
{
    return id.substr(0, id.find('_'));
}

} // namespace

NestedCalls::NestedCalls(const Shape& shape, Duration longestIdle, Callbacks callbacks)
    : m_shape(shape)
    , m_longestIdle(longestIdle)
    , m_callbacks(std::move(callbacks))
    , m_random(shape.seed)
{
}

NestedCalls::~NestedCalls() = default;

void NestedCalls::start(const std::string& run, size_t daemon, unsigned milliseconds)
{
    const auto now = MonotonicClock::now();
    auto& group = m_groups[run];
    group.daemon = daemon;
    group.deadline = now + std::chrono::milliseconds(milliseconds);
    unsigned atOnce = 1;
    if (m_shape.makesMany) {
        group.unsent = fewestCalls + static_cast<unsigned>(m_random() % callRange);
        atOnce = 1 + static_cast<unsigned>(m_random() % mostAtOnce);
    }
    if (m_shape.givesUp && m_random() % runsPerGivingUp == 0)
        group.givesUpAt = now + Duration(static_cast<int64_t>(m_random() % latestGivingUp.count()));
    for (; atOnce && m_groups.count(run); --atOnce)
        send(run, m_groups[run]);
}

void NestedCalls::end(const std::string& id)
{
    const auto run = runOf(id);
    const auto found = m_groups.find(run);
    if (found == m_groups.end() || !std::erase(found->second.open, id))
        return;
    send(run, found->second);
}

void NestedCalls::send(const std::string& run, Group& group)
{
    const auto now = MonotonicClock::now();
    if (!group.unsent || now >= group.deadline) {
        if (!group.open.empty())
            return;
        m_groups.erase(run);
        m_callbacks.onDone(run);
        return;
    }
    --group.unsent;
    const auto id = m_shape.makesMany ? run + "_" + std::to_string(++group.started) : run;
    group.open.push_back(id);
    m_callbacks.onStart(id, group.daemon, group.deadline);
    auto& [connection, daemon, call, lastUsed] = connectionTo(group.daemon);
    if (!connection->isOpen()) {
        m_callbacks.onRefused(id);
        end(id);
        return;
    }
    call = id;
    lastUsed = now;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(group.deadline - now).count();
    connection->send("GET /inner/ HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + id + "\r\n"
            + std::string(platform::header::deadline) + ": " + std::to_string(left) + "\r\n\r\n",
        { id });
}

NestedCalls::Connection& NestedCalls::connectionTo(size_t daemon)
{
    const auto now = MonotonicClock::now();
    for (auto& each : m_connections) {
        const bool isFree = each.connection->isOpen() && !each.connection->pending();
        if (each.daemon == daemon && isFree && now < each.lastUsed + m_longestIdle)
            return each;
    }
    return m_connections.emplace_back(Connection { m_callbacks.connect(daemon), daemon, {}, now });
}

void NestedCalls::drop(const std::string& run)
{
    const auto found = m_groups.find(run);
    if (found == m_groups.end())
        return;
    const auto open = found->second.open;
    m_groups.erase(found);
    std::erase_if(m_connections, [&open](const auto& each) {
        return each.connection->pending() && std::find(open.begin(), open.end(), each.call) != open.end();
    });
    for (const auto& id : open)
        m_callbacks.onDropped(id);
}

void NestedCalls::update(TimePoint now)
{
    // Not where calls end: those are calls of a connection.
    std::erase_if(m_connections, [this, now](const auto& each) {
        return !each.connection->pending() && (!each.connection->isOpen() || now >= each.lastUsed + m_longestIdle);
    });
    std::vector<std::string> due;
    for (const auto& [run, group] : m_groups) {
        if (now >= group.givesUpAt)
            due.push_back(run);
    }
    for (const auto& run : due) {
        drop(run);
        m_callbacks.onDone(run);
    }
}

void NestedCalls::clear()
{
    m_groups.clear();
    m_connections.clear();
}

} // namespace shallot
