#pragma once

#include "net/StrictHTTPServer.h"
#include "net/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// The part of the platform's store that the daemons use: keyed topics with appends, held reads and snapshots.
class StoreStandin {
public:
    enum class Mode : uint8_t {
        Serving,
        Refusing,     // Responds 503 at once
        Unresponsive, // Accepts calls and never responds
    };

    explicit StoreStandin(const SocketAddress&);

    void put(const std::string& topic, const std::string& key, const std::string& value);
    // The newest value of each key.
    std::map<std::string, std::string> newest(const std::string& topic) const;
    // Drops all records written so far; the newest of each key stays in the snapshot.
    void trim(const std::string& topic);
    // Comes back from an earlier copy of its topics: the connections of held reads are closed.
    void restore(const StoreStandin& copy);
    // A copy of the topics, without a server.
    std::unique_ptr<StoreStandin> copy() const;
    // Called with each appended value; returns the value to store.
    void setRecordFilter(std::function<std::string(const std::string& topic, std::string)> filter)
    {
        m_filter = std::move(filter);
    }
    void setMode(Mode mood) { m_mood = mood; }
    size_t callCount() const { return m_calls; }
    // Hold requested by each read from an offset.
    const std::vector<Duration>& readHolds() const { return m_readHolds; }

private:
    StoreStandin() = default;

    struct Topic {
        std::vector<std::pair<std::string, std::string>> records;
        size_t firstOffset { 0 }; // Oldest offset kept
    };

    struct HeldRead {
        RefPtr<StrictHTTPConnection> connection;
        std::string topic;
        size_t from { 0 };
        size_t maximumBytes { 0 };
        std::unique_ptr<Timer> timer;
    };

    void handle(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    void respond(StrictHTTPConnection&, uint16_t status, std::string body) const;
    void respondWithSnapshot(StrictHTTPConnection&, const std::string& topic, const std::string& after);
    void respondWithRecords(StrictHTTPConnection&, const std::string& topic, size_t from, size_t maximumBytes);
    void completeHeldReads(const std::string& topic);

    StrictHTTPServer m_server;
    std::map<std::string, Topic> m_topics;
    std::vector<std::unique_ptr<HeldRead>> m_held;
    std::function<std::string(const std::string&, std::string)> m_filter;
    Mode m_mood { Mode::Serving };
    size_t m_calls { 0 };
    uint64_t m_era { 1 }; // Rises with each restore
    std::vector<Duration> m_readHolds;
};

} // namespace shallot
