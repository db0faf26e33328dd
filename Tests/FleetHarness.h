#pragma once

#include "daemon/Daemon.h"
#include "net/HTTPExchange.h"
#include "net/HTTPPool.h"
#include "net/HTTPServer.h"
#include "net/Listener.h"
#include "net/StreamSocket.h"
#include "standins/LogStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// Backend server of one daemon; tests control its responses byte by byte.
class FakeBackend {
public:
    // Gets one request as text and the connection to respond on.
    using Script = std::function<void(StreamSocket&, const std::string& request)>;

    FakeBackend(uint16_t port, uint16_t egressPort, std::string service);

    void setScript(Script script) { m_script = std::move(script); }
    void setDraining(bool draining);
    void announce();
    // Stops listening and closes every connection.
    void crash();
    // Starts again with a new boot ID.
    void restart();

    const std::vector<std::string>& requests() const { return m_requests; }
    std::string bootID { "boot-1" };

private:
    void listen();
    void onBytes(StreamSocket&, std::string& buffer, std::string_view bytes);

    SocketAddress m_address;
    std::string m_service;
    Script m_script;
    std::unique_ptr<Listener> m_listener;
    std::vector<RefPtr<StreamSocket>> m_connections;
    std::vector<std::string> m_requests;
    HTTPPool m_egress;
    Timer m_announcer;
    uint64_t m_nextID { 1 };
    bool m_draining { false };
    bool m_running { true };
};

// Writes a complete 200 response with the given body.
void respondOK(StreamSocket&, std::string_view body);

// Several daemons, their backend servers and a log service in this process, on one main loop and over real sockets.
class FleetHarness {
public:
    // Starts one daemon for each zone in the list, each with a backend server of the service.
    explicit FleetHarness(const std::vector<std::string>& zones, const std::string& service = "profiles");
    ~FleetHarness();

    // Runs the main loop until the condition holds; returns false if it does not within 10 s.
    bool runUntil(const std::function<bool()>&);
    void runFor(Duration);

    // One request to a daemon, and its response once done.
    struct Exchange {
        bool done { false };
        Result<HTTPResponse> response { HTTPResponse() };

        std::string error() const;
        std::string ran() const;
    };

    std::shared_ptr<Exchange> send(size_t daemon, HTTPRequest);
    std::shared_ptr<Exchange> get(size_t daemon, const std::string& target, const std::string& key = "secret-key");
    std::shared_ptr<Exchange> post(
        size_t daemon, const std::string& target, const std::string& idempotencyKey, const std::string& key = "secret-key");
    std::shared_ptr<Exchange> edit(size_t daemon, const ConfigurationEdit&);
    // Waits for the response.
    const Exchange& wait(const std::shared_ptr<Exchange>&);
    // get() and wait().
    const Exchange& fetch(size_t daemon, const std::string& target, const std::string& key = "secret-key");
    ConfigurationEdit keyWithdrawalEdit() const;
    // Number of requests containing the text that the backend servers received.
    size_t countRequests(std::string_view text) const;
    std::string status(size_t daemon);

    void stopDaemon(size_t daemon) { m_daemons[daemon].reset(); }
    Daemon& daemon(size_t index) { return *m_daemons[index]; }
    FakeBackend& backend(size_t index) { return *m_backends[index]; }
    LogStore& log() { return m_log; }
    uint16_t port(size_t daemon, uint16_t offset) const { return static_cast<uint16_t>(m_basePort + 10 + daemon * 10 + offset); }
    void setFaults(size_t daemon, const std::string& blocked);

private:
    void startLog();
    void applyConfiguration();
    Configuration makeConfiguration() const;

    uint16_t m_basePort;
    std::vector<std::string> m_zones;
    LogStore m_log;
    HTTPServer m_logServer;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<FakeBackend>> m_backends;
    std::vector<std::unique_ptr<HTTPPool>> m_ingress;
    std::vector<std::unique_ptr<HTTPPool>> m_admin;
    std::vector<std::shared_ptr<Exchange>> m_exchanges;
    uint64_t m_nextID { 1 };
};

} // namespace shallot
