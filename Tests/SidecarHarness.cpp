#include "SidecarHarness.h"

#include "TestPorts.h"
#include "platform/Names.h"

#include <algorithm>
#include <glib.h>

namespace shallot {

namespace {

constexpr auto maximumWait = 10s;
constexpr uint16_t portsPerDaemon = 10;
constexpr uint16_t callersPort = 0;
constexpr uint16_t readinessPort = 1;
constexpr uint16_t controlPort = 2;
constexpr uint16_t peerPort = 3;
constexpr uint16_t backendPort = 4;

} // namespace

EndpointStandin::EndpointStandin(
    const SocketAddress& own, const SocketAddress& control, std::string service, std::string instance)
    : m_address(own)
    , m_script([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) { respond(*connection, request); })
    , m_service(std::move(service))
    , m_instance(std::move(instance))
{
    m_control.setAddress(control);
    start();
}

void EndpointStandin::start()
{
    m_server = std::make_unique<StrictHTTPServer>();
    const auto started = m_server->start(m_address, {},
        { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
             if (request.target == "/health") {
                 HTTPResponse healthy { 200, { { std::string(platform::header::instance), m_instance } }, {} };
                 if (const auto cold = coldFor(); cold > Duration::zero())
                     healthy.headers.emplace_back(platform::header::coldTime, std::to_string(cold / 1ms));
                 connection->respond(healthy, false, MonotonicClock::now());
                 return;
             }
             m_requests.push_back(request);
             m_script(connection, request);
         },
            [this](StrictHTTPConnection&) { ++m_disconnects; } });
    g_assert(started);
    m_running = true;
    setAnnouncing(true);
}

void EndpointStandin::crash(Duration downtime, bool acceptsConnections)
{
    if (!std::exchange(m_running, false))
        return;
    m_announceTimer.stop();
    // From the main loop: the script that calls this runs within a callback of the server.
    m_crashTimer.startOnce(1ms, [this, downtime, acceptsConnections] {
        m_server.reset();
        if (acceptsConnections) {
            m_server = std::make_unique<StrictHTTPServer>();
            const auto started = m_server->start(m_address, {},
                { [](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { connection->abort(); }, nullptr });
            g_assert(started);
        }
        m_crashTimer.startOnce(downtime, [this] {
            m_instance += "+";
            m_startedAt += 1000;
            start();
            announce();
        });
    });
}

void EndpointStandin::restartUnannounced()
{
    m_server.reset();
    m_startedAt = WallClock::milliseconds();
    m_sequence = 0;
    start();
    setAnnouncing(false);
}

void EndpointStandin::announce()
{
    sendAnnouncement(m_instance, bodyOf(m_service, m_draining ? "draining" : "ready", m_startedAt, ++m_sequence));
}

std::string EndpointStandin::announcementOf(const std::string& service, uint64_t startedAt, uint64_t sequence) const
{
    return bodyOf(service, "ready", startedAt, sequence);
}

std::string EndpointStandin::bodyOf(
    const std::string& service, const std::string& state, uint64_t startedAt, uint64_t sequence) const
{
    return R"({"service":")" + service + R"(","addr":")" + m_address.toString()
        + R"(","zone":"z","version":"v1","slots":4,"state":")" + state + R"(","cold_left_s":)"
        + std::to_string(toSeconds(coldFor())) + R"(,"born":)" + std::to_string(startedAt) + R"(,"seq":)"
        + std::to_string(sequence) + "}";
}

void EndpointStandin::sendAnnouncement(const std::string& instance, const std::string& body)
{
    sendNotice(std::string(platform::path::announce) + instance, body);
}

void EndpointStandin::sendNotice(std::string target, const std::string& body)
{
    m_control.send(m_nextID++, { "POST", std::move(target), { { "Host", "control" } }, body },
        [this](const Result<HTTPResponse>& response) { m_lastNoticeStatus = response ? response->status : 0; });
}

void EndpointStandin::setAnnouncing(bool announcing)
{
    if (announcing)
        m_announceTimer.startRepeating(200ms, [this] { announce(); });
    else
        m_announceTimer.stop();
}

void EndpointStandin::replaceBy(const std::string& service)
{
    m_instance += "+";
    m_startedAt += 1000;
    m_sequence = 0;
    m_service = service;
    announce();
}

void EndpointStandin::leave()
{
    m_announceTimer.stop();
    sendLeave({});
}

void EndpointStandin::sendLeave(const std::string& body)
{
    sendNotice(std::string(platform::path::leave) + m_instance, body);
}

void EndpointStandin::respond(
    StrictHTTPConnection& connection, const HTTPRequest& request, uint16_t status, const std::string& body)
{
    const std::string attempt(findHeader(request.headers, platform::header::attemptID));
    const HTTPHeaders headers { { std::string(platform::header::attemptID), attempt },
        { std::string(platform::header::seal), "seal" } };
    connection.respond({ status, headers, body }, false, MonotonicClock::now());
}

void EndpointStandin::refuse(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const std::string attempt(findHeader(request.headers, platform::header::attemptID));
    const HTTPHeaders headers { { std::string(platform::header::attemptID), attempt },
        { std::string(platform::header::notExecuted), "1" } };
    connection->respond({ 503, headers, {} }, false, MonotonicClock::now());
}

SidecarHarness::SidecarHarness(const std::vector<std::string>& locations, const std::vector<size_t>& deferredStarts)
    : m_basePort(nextBasePort())
    , m_locations(locations)
    , m_store(std::make_unique<StoreStandin>(SocketAddress { "127.0.0.1", m_basePort }))
{
    settings.keyStaleness = 1800ms; // Short, so that the loss of the store takes effect soon
    settings.keyStalenessMargin = 100ms;
    settings.retryAllowance = 10'000; // Enough for the few requests of any test; RetryBudgetShareFuzzTest.cpp tests the bounds
    for (size_t i = 0; i < locations.size(); ++i) {
        const auto service = locations[i].substr(locations[i].find('/') + 1);
        m_endpoints.push_back(std::make_unique<EndpointStandin>(
            address(i, backendPort), address(i, controlPort), service, "instance-" + std::to_string(i)));
        m_daemons.emplace_back();
        if (std::find(deferredStarts.begin(), deferredStarts.end(), i) == deferredStarts.end())
            start(i);
        m_callers.push_back(std::make_unique<HTTPPool>());
        m_callers.back()->setAddress(address(i, callersPort));
    }
    writeConfiguration(1);
}

void SidecarHarness::start(size_t index)
{
    m_daemons[index] = std::make_unique<Sidecar>(instanceSettings(index), settings, "a secret of the tests");
    const auto started = m_daemons[index]->start();
    g_assert(started);
}

SidecarHarness::~SidecarHarness()
{
    m_daemons.clear();
}

SocketAddress SidecarHarness::address(size_t daemon, uint16_t offset) const
{
    return { "127.0.0.1", static_cast<uint16_t>(m_basePort + 10 + daemon * portsPerDaemon + offset) };
}

SocketAddress SidecarHarness::callersAddress(size_t daemon) const
{
    return address(daemon, callersPort);
}

SocketAddress SidecarHarness::backendServerAddress(size_t daemon) const
{
    return address(daemon, backendPort);
}

platform::InstanceSettings SidecarHarness::instanceSettings(size_t index) const
{
    platform::InstanceSettings instance;
    instance.instance = "daemon-" + std::to_string(index);
    instance.zone = m_locations[index].substr(0, m_locations[index].find('/'));
    instance.service = m_locations[index].substr(m_locations[index].find('/') + 1);
    instance.callers = address(index, callersPort);
    instance.readiness = address(index, readinessPort);
    instance.announcements = address(index, controlPort);
    instance.backendServer = address(index, backendPort);
    instance.peers = address(index, peerPort);
    instance.store = { "127.0.0.1", m_basePort };
    return instance;
}

void SidecarHarness::setShutdownTime(size_t daemon, Duration time)
{
    auto instance = instanceSettings(daemon);
    instance.shutdownTime = time;
    m_daemons[daemon]->applySettings(instance);
}

SocketAddress SidecarHarness::peersAddress(size_t daemon) const
{
    return address(daemon, peerPort);
}

void SidecarHarness::writeConfiguration(uint64_t version, const std::string& keys, double rate)
{
    const auto route = [this](const char* prefix, const char* service, const char* kind, bool open) {
        return std::string(R"({"name":"route-)") + service + kind + R"(","path_prefix":")" + prefix + R"(","kind":")" + kind
            + R"(","timeout_s":)" + std::to_string(timeLimit) + R"(,"target_latency_s":1,"priority":1,"service":")" + service
            + R"(","attempts":)" + std::to_string(maximumEndpoints) + R"(,"anonymous":)" + (open ? "true" : "false") + "}";
    };
    const auto coldStart = coldPerSecond > 0 ? R"(,"cold_s":5,"cold_per_s":)" + std::to_string(coldPerSecond) : std::string();
    const std::string document = R"({"version":"r)" + std::to_string(version) + R"(","padding":")"
        + std::string(configurationPadding, 'x')
        + R"(","services":[{"name":"alpha","health_path":"/health","max_connections":100)" + coldStart + "},"
        + R"({"name":"beta","health_path":"/health","max_connections":100}],"tenants":[{"name":"school","api_keys":)" + keys
        + R"(,"rate_per_s":)" + std::to_string(rate) + R"(,"burst":)" + std::to_string(rate)
        + R"(}],"virtual_hosts":[{"host":"app","paths":[)" + route("/read/", "alpha", "idempotent", false) + ","
        + route("/order/", "alpha", "non_idempotent", false) + "," + route("/upload/", "alpha", "upload", false) + ","
        + route("/inner/", "beta", "idempotent", true) + "]}]}";
    m_store->put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey), document);
}

bool SidecarHarness::runUntil(const std::function<bool()>& condition)
{
    const auto end = MonotonicClock::now() + maximumWait;
    while (!condition()) {
        if (MonotonicClock::now() > end)
            return false;
        Timer wake;
        wake.startOnce(20ms, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void SidecarHarness::runFor(Duration duration)
{
    const auto end = MonotonicClock::now() + duration;
    runUntil([end] { return MonotonicClock::now() >= end; });
}

std::shared_ptr<SidecarHarness::Exchange> SidecarHarness::send(size_t daemon, HTTPRequest request, const std::string& key)
{
    auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    request.headers.emplace_back("Host", "app");
    if (findHeader(request.headers, platform::header::attemptID).empty())
        request.headers.emplace_back(platform::header::attemptID, "attempt-" + std::to_string(m_nextID));
    if (!key.empty())
        request.headers.emplace_back(platform::header::key, key);
    m_lastDaemon = daemon;
    m_callers[daemon]->send(m_nextID++, request, [exchange](Result<HTTPResponse> response) {
        exchange->done = true;
        exchange->response = std::move(response);
    });
    return exchange;
}

const SidecarHarness::Exchange& SidecarHarness::wait(const std::shared_ptr<Exchange>& exchange)
{
    runUntil([&exchange] { return exchange->done; });
    return *exchange;
}

const SidecarHarness::Exchange& SidecarHarness::fetch(size_t daemon, const std::string& target, const std::string& key)
{
    return wait(send(daemon, { "GET", target, {}, {} }, key));
}

void SidecarHarness::disconnectCaller()
{
    m_callers[m_lastDaemon]->abandon(m_nextID - 1);
}

uint16_t SidecarHarness::readiness(size_t daemon)
{
    Exchange exchange;
    m_readiness.setAddress(address(daemon, readinessPort));
    m_readiness.send(m_nextID++, { "GET", std::string(platform::path::readiness), { { "Host", "ready" } }, {} },
        [&exchange](Result<HTTPResponse> response) {
            exchange.done = true;
            exchange.response = std::move(response);
        });
    runUntil([&exchange] { return exchange.done; });
    return exchange.status();
}

bool SidecarHarness::waitUntilServing()
{
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (!runUntil([this, i] { return fetch(i, "/read/warm").status() == 200; }))
            return false;
    }
    return runUntil([this] {
        return std::all_of(
            m_daemons.begin(), m_daemons.end(), [this](const auto& daemon) { return daemon->memberCount() == m_daemons.size(); });
    });
}

size_t SidecarHarness::executionCount(std::string_view target) const
{
    size_t count = 0;
    for (const auto& endpoint : m_endpoints) {
        for (const auto& request : endpoint->requests())
            count += request.target == target ? 1 : 0;
    }
    return count;
}

} // namespace shallot
