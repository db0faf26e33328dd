#pragma once

#include "RawEndpoint.h"
#include "StoreStandin.h"
#include "net/HTTPPool.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallot {

// Two processes of shallot-sidecar with a small memory limit, both in one zone: callers use the first one, and the only backend
// server stands beside the second one. The store, the backend server and the callers are in this process.
class SidecarProcesses {
public:
    explicit SidecarProcesses(size_t memoryMB);
    ~SidecarProcesses();

    static bool runUntil(const std::function<bool()>&);
    static void runFor(Duration);

    // One ordinary request of a caller that reads its response. Returns whether it was served.
    bool fetchShort();
    // A GET request whose response depends on the beginning of its attempt id: "long-" gets the long body, "held-" none until
    // answerHeld(), any other one a few bytes.
    static std::string requestText(const std::string& attempt);
    void answerHeld(); // Also those that come later
    size_t heldCount() const { return m_held.size(); }
    // Whether the backend server has received a request with that attempt id.
    bool hasRun(const std::string& attempt) const { return m_ran.contains(attempt); }

    SocketAddress callersAddress() const { return at(0, Callers); }
    bool areAlive() const;
    size_t peakMemoryMB() const;    // Of the process with the higher peak
    size_t openDescriptors() const; // Of the process with more of them

    size_t longBodyBytes { 0 };

private:
    static constexpr size_t daemonCount = 2;
    enum Port : uint16_t { Callers, Readiness, Announcements, BackendServer, Peers, portsPerDaemon };

    SocketAddress at(size_t daemon, Port) const;
    void start(size_t daemon, size_t memoryMB);
    void announce();
    void respond(StreamSocket&, const std::string& attempt);

    uint16_t m_basePort;
    std::filesystem::path m_folder;
    std::unique_ptr<StoreStandin> m_store;
    std::unique_ptr<RawEndpoint> m_backend;
    HTTPPool m_control;
    HTTPPool m_caller;
    Timer m_announcements;
    std::vector<pid_t> m_pids;
    std::set<std::string> m_ran;
    std::map<std::string, RefPtr<StreamSocket>> m_held; // By attempt id
    bool m_holds { true };
    uint64_t m_nextID { 1 };
    uint64_t m_sequence { 0 };
};

} // namespace shallot
