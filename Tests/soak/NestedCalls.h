#pragma once

#include "core/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallot {

class KeptConnection;

// Calls that runs make at the daemon beside their backend server, on connections that the backend server keeps: one call a run,
// or 8 to 14 of which up to 5 are open at once. A run that gives up closes the connections of its open calls.
class NestedCalls {
public:
    struct Shape {
        unsigned seed { 0 };
        bool makesMany { false };
        bool givesUp { false }; // Some runs, before the last call has ended
    };

    struct Callbacks {
        std::function<std::unique_ptr<KeptConnection>(size_t daemon)> connect;
        std::function<void(const std::string& id, size_t daemon, TimePoint deadline)> onStart;
        std::function<void(const std::string& id)> onRefused; // There is no connection to the daemon
        std::function<void(const std::string& id)> onDropped;
        std::function<void(const std::string& run)> onDone; // No call is left
    };

    // Connections that have been idle for longer are not used.
    NestedCalls(const Shape&, Duration longestIdle, Callbacks);
    ~NestedCalls();

    // The calls are named after the run, and have this many milliseconds left.
    void start(const std::string& run, size_t daemon, unsigned milliseconds);
    // A call was answered, or its connection ended.
    void end(const std::string& id);
    // Drops the calls of a run; onDone is not called.
    void drop(const std::string& run);
    // Drops the calls of the runs that give up by now.
    void update(TimePoint now);
    void clear();

private:
    struct Group {
        size_t daemon { 0 };
        TimePoint deadline {};
        TimePoint givesUpAt { TimePoint::max() };
        unsigned unsent { 1 };
        unsigned started { 0 };
        std::vector<std::string> open;
    };

    struct Connection {
        std::unique_ptr<KeptConnection> connection;
        size_t daemon { 0 };
        std::string call;
        TimePoint lastUsed {};
    };

    void send(const std::string& run, Group&);
    Connection& connectionTo(size_t daemon);

    Shape m_shape;
    Duration m_longestIdle;
    Callbacks m_callbacks;
    std::mt19937 m_random;
    std::map<std::string, Group> m_groups; // By run
    std::vector<Connection> m_connections;
};

} // namespace shallot
