#pragma once

#include "StoreStandin.h"
#include "net/HTTPPool.h"
#include "sidecar/Sidecar.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// A backend server that speaks the platform's protocol, beside one daemon.
class EndpointStandin {
public:
    using Script = std::function<void(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&)>;

    EndpointStandin(const SocketAddress& own, const SocketAddress& control, std::string service, std::string instance);

    void setScript(Script script) { m_script = std::move(script); }
    void setDraining(bool draining) { m_draining = draining; }
    void announce();
    // Sends an announcement with any body.
    void sendAnnouncement(const std::string& body) { sendAnnouncement(m_instance, body); }
    void sendAnnouncement(const std::string& instance, const std::string& body);
    // A complete announcement of a run of any service and start time at this backend server's address.
    std::string announcementOf(const std::string& service, uint64_t startedAt, uint64_t sequence = 1) const;
    // Whether it announces itself regularly.
    void setAnnouncing(bool);
    // The next run at this address, of any service, starts without an end of the former one that anyone noticed.
    void replaceBy(const std::string& service);
    void leave();
    // Status of the last response to an announcement or a leave; 0: none yet.
    uint16_t lastNoticeStatus() const { return m_lastNoticeStatus; }
    // Sends a leave with any body.
    void sendLeave(const std::string& body);
    // Closes all connections without a response and the address; a new instance announces itself after that time.
    // `acceptsConnections`: until then connections are accepted and closed without a response.
    void crash(Duration downtime, bool acceptsConnections = false);
    // Ends without a word; the next run serves at once, under the same name, and has not announced itself.
    void restartUnannounced();
    // It says that it stays cold for that long, in announcements and health responses.
    void setCold(Duration coldFor) { m_coldUntil = MonotonicClock::now() + coldFor; }
    bool isRunning() const { return m_running; }
    // Frees the address for another stand-in with different behaviour; announcements continue.
    void stopServing() { m_server->startDraining(); }
    // Sends a complete response with a seal.
    static void respond(StrictHTTPConnection&, const HTTPRequest&, uint16_t status = 200, const std::string& body = "done");

    // Responds that the request was not executed.
    static void refuse(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);

    const std::vector<HTTPRequest>& requests() const { return m_requests; }
    size_t disconnectCount() const { return m_disconnects; }
    size_t connectionCount() const { return m_server->connectionCount(); }

private:
    void start();
    void sendNotice(std::string target, const std::string& body);
    Duration coldFor() const { return std::max<Duration>(m_coldUntil - MonotonicClock::now(), Duration::zero()); }
    std::string bodyOf(const std::string& service, const std::string& state, uint64_t startedAt, uint64_t sequence) const;

    SocketAddress m_address;
    std::unique_ptr<StrictHTTPServer> m_server;
    HTTPPool m_control;
    Timer m_announceTimer;
    Timer m_crashTimer;
    Script m_script;
    std::string m_service;
    std::string m_instance;
    uint64_t m_startedAt { 1000 };
    TimePoint m_coldUntil {};
    std::vector<HTTPRequest> m_requests; // Without health probes
    uint64_t m_sequence { 0 };
    uint16_t m_lastNoticeStatus { 0 };
    uint64_t m_nextID { 1 };
    size_t m_disconnects { 0 };
    bool m_draining { false };
    bool m_running { false };
};

// Several daemons, their backend servers and a store in this process and on this main loop, over real sockets. One daemon for
// each "zone/service".
class SidecarHarness {
public:
    explicit SidecarHarness(const std::vector<std::string>& locations, const std::vector<size_t>& deferredStarts = {});
    ~SidecarHarness();

    struct Exchange {
        bool done { false };
        Result<HTTPResponse> response { HTTPResponse() };
        uint16_t status() const { return response ? response->status : 0; }
    };

    bool runUntil(const std::function<bool()>&);
    void runFor(Duration);

    // Sends a request with a key and, unless it has one, a new attempt id.
    std::shared_ptr<Exchange> send(size_t daemon, HTTPRequest, const std::string& key = "key-1");
    const Exchange& wait(const std::shared_ptr<Exchange>&);
    const Exchange& fetch(size_t daemon, const std::string& target, const std::string& key = "key-1");
    // Abandons the last request that was sent, as a caller that disconnects.
    void disconnectCaller();
    // Stores a configuration with these keys and, for the organisation, this rate and burst.
    void writeConfiguration(uint64_t version, const std::string& keys = R"(["key-1","key-2"])", double rate = 0);
    uint16_t readiness(size_t daemon);
    bool waitUntilServing();

    Sidecar& daemon(size_t index) { return *m_daemons[index]; }
    EndpointStandin& endpoint(size_t index) { return *m_endpoints[index]; }
    StoreStandin& store() { return *m_store; }
    platform::InstanceSettings instanceSettings(size_t index) const;
    // Time between the request to stop and the kill, of a running daemon.
    void setShutdownTime(size_t daemon, Duration);
    // Starts a daemon that was stopped or whose start was deferred.
    void start(size_t index);
    void stop(size_t index) { m_daemons[index].reset(); }
    size_t executionCount(std::string_view target) const;
    SocketAddress callersAddress(size_t daemon) const;
    SocketAddress backendServerAddress(size_t daemon) const;
    SocketAddress peersAddress(size_t daemon) const;

    MeshSettings settings;
    double coldPerSecond { 0 };        // Requests that a cold backend server takes, from the next configuration on; 0: any number
    size_t configurationPadding { 0 }; // Bytes by which the next configurations are longer than they need to be
    unsigned maximumEndpoints { 2 };   // Of all routes, from the next configuration on
    double timeLimit { 1.5 };          // Of all routes, in seconds, from the next configuration on

private:
    SocketAddress address(size_t daemon, uint16_t offset) const;

    uint16_t m_basePort;
    std::vector<std::string> m_locations;
    std::unique_ptr<StoreStandin> m_store;
    std::vector<std::unique_ptr<Sidecar>> m_daemons;
    std::vector<std::unique_ptr<EndpointStandin>> m_endpoints;
    std::vector<std::unique_ptr<HTTPPool>> m_callers;
    HTTPPool m_readiness;
    std::vector<std::shared_ptr<Exchange>> m_exchanges; // Tests keep references to them
    uint64_t m_nextID { 1 };
    size_t m_lastDaemon { 0 };
};

} // namespace shallot
