#include "StoreStandin.h"

#include "core/JSON.h"
#include "platform/Names.h"

#include <algorithm>
#include <cstring>
#include <glib.h>

namespace shallot {

namespace {

std::string queryValue(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

// PROTOCOL.md, "The platform's metadata store".
constexpr size_t defaultReadKB = 1024;
constexpr size_t maximumPageItems = 500;
constexpr size_t maximumPageBytes = 1024 * 1024;
constexpr auto maximumWait = std::chrono::milliseconds(30'000);

void appendNumber(std::string& bytes, uint64_t number, size_t size)
{
    for (size_t i = 0; i < size; ++i)
        bytes += static_cast<char>(number >> (8 * (size - 1 - i)));
}

} // namespace

StoreStandin::StoreStandin(const SocketAddress& address)
{
    const auto started = m_server.start(address, {},
        { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) { handle(connection, request); },
            nullptr });
    g_assert(started);
}

void StoreStandin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    m_topics[topic].records.emplace_back(key, m_filter ? m_filter(topic, value) : value);
    completeHeldReads(topic);
}

std::unique_ptr<StoreStandin> StoreStandin::copy() const
{
    std::unique_ptr<StoreStandin> result(new StoreStandin);
    result->m_topics = m_topics;
    return result;
}

void StoreStandin::restore(const StoreStandin& copy)
{
    m_topics = copy.m_topics;
    ++m_era;
    for (const auto& held : std::exchange(m_held, {})) {
        if (held->connection)
            held->connection->abort();
    }
}

void StoreStandin::respond(StrictHTTPConnection& connection, uint16_t status, std::string body) const
{
    connection.respond({ status, { { std::string(platform::header::storeEra), std::to_string(m_era) } }, std::move(body) }, false,
        MonotonicClock::now());
}

std::map<std::string, std::string> StoreStandin::newest(const std::string& topic) const
{
    std::map<std::string, std::string> values;
    const auto found = m_topics.find(topic);
    if (found == m_topics.end())
        return values;
    for (const auto& [key, value] : found->second.records) {
        if (value.empty())
            values.erase(key);
        else
            values[key] = value;
    }
    return values;
}

void StoreStandin::trim(const std::string& topic)
{
    m_topics[topic].firstOffset = m_topics[topic].records.size();
}

void StoreStandin::handle(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    ++m_calls;
    if (m_mood == Mode::Unresponsive)
        return;
    if (m_mood == Mode::Refusing) {
        respond(*connection, 503, {});
        return;
    }
    const auto topic = queryValue(request.target, "topic");
    if (request.target.starts_with(platform::path::logNewest)) {
        char* after = g_uri_unescape_string(queryValue(request.target, "after").c_str(), nullptr);
        respondWithSnapshot(*connection, topic, after);
        g_free(after);
        return;
    }
    if (request.target.starts_with(platform::path::logAppend)) {
        const size_t keyLength = static_cast<uint8_t>(request.body.at(4));
        put(topic, request.body.substr(5, keyLength), request.body.substr(5 + keyLength));
        const auto end = m_topics[topic].records.size();
        respond(*connection, 200, R"({"offset":)" + std::to_string(end - 1) + R"(,"end_offset":)" + std::to_string(end) + "}");
        return;
    }
    const auto from = std::strtoull(queryValue(request.target, "from").c_str(), nullptr, 10);
    const auto named = queryValue(request.target, "max_kb");
    const size_t maximumBytes = 1024 * (named.empty() ? defaultReadKB : std::strtoull(named.c_str(), nullptr, 10));
    const auto wait = std::min(
        std::chrono::milliseconds(std::strtoll(queryValue(request.target, "wait_ms").c_str(), nullptr, 10)), maximumWait);
    m_readHolds.emplace_back(wait);
    if (wait.count() <= 0 || from != m_topics[topic].records.size()) {
        respondWithRecords(*connection, topic, from, maximumBytes);
        return;
    }
    auto held = std::make_unique<HeldRead>();
    held->connection = connection;
    held->topic = topic;
    held->from = from;
    held->maximumBytes = maximumBytes;
    held->timer = std::make_unique<Timer>();
    held->timer->startOnce(wait, [this, raw = held.get()] {
        const auto read = std::move(raw->connection);
        respondWithRecords(*read, raw->topic, raw->from, raw->maximumBytes);
    });
    m_held.push_back(std::move(held));
}

void StoreStandin::respondWithSnapshot(StrictHTTPConnection& connection, const std::string& topic, const std::string& after)
{
    const auto values = newest(topic);
    std::map<std::string, uint64_t> offsets;
    for (uint64_t offset = 0; const auto& [key, value] : m_topics[topic].records)
        offsets[key] = offset++;
    JSONWriter writer;
    writer.beginObject().beginArray("items");
    size_t items = 0;
    size_t bytes = 0;
    auto item = after.empty() ? values.begin() : values.upper_bound(after);
    for (; item != values.end() && items < maximumPageItems; ++item, ++items) {
        const auto& [key, value] = *item;
        char* encoded = g_base64_encode(reinterpret_cast<const guchar*>(value.data()), value.size());
        bytes += key.size() + std::strlen(encoded);
        const bool fits = !items || bytes <= maximumPageBytes;
        if (fits)
            writer.beginObject().add("key", key).add("value", encoded).add("offset", offsets[key]).endObject();
        g_free(encoded);
        if (!fits)
            break;
    }
    const auto end = static_cast<uint64_t>(m_topics[topic].records.size());
    writer.endArray().add("has_more", item != values.end()).add("end_offset", end).endObject();
    respond(connection, 200, writer.finish());
}

void StoreStandin::respondWithRecords(
    StrictHTTPConnection& connection, const std::string& topic, size_t from, size_t maximumBytes)
{
    const auto& [records, firstOffset] = m_topics[topic];
    if (from < firstOffset || from > records.size()) {
        respond(connection, 410, R"({"first_offset":)" + std::to_string(firstOffset) + "}");
        return;
    }
    std::string body;
    appendNumber(body, records.size(), 8);
    appendNumber(body, firstOffset, 8);
    size_t bytes = 0;
    for (size_t i = from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        const auto length = 1 + key.size() + value.size();
        bytes += 4 + length;
        if (i > from && bytes > maximumBytes)
            break;
        appendNumber(body, length, 4);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    respond(connection, 200, body);
}

void StoreStandin::completeHeldReads(const std::string& topic)
{
    for (const auto& held : m_held) {
        if (held->topic != topic || !held->connection)
            continue;
        held->timer->stop();
        const auto read = std::move(held->connection);
        respondWithRecords(*read, topic, held->from, held->maximumBytes);
    }
    std::erase_if(m_held, [](const auto& held) { return !held->connection; });
}

} // namespace shallot
