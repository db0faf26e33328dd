#include "FleetHarness.h"

#include "TestPorts.h"
#include "config/ConfigurationJSON.h"
#include "core/Digest.h"
#include "core/JSON.h"

#include <glib.h>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto waitTimeout = 10s;
uint64_t queryNumber(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

void respondOK(StreamSocket& socket, std::string_view body)
{
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
}

FakeBackend::FakeBackend(uint16_t port, uint16_t egressPort, std::string service)
    : m_address { "127.0.0.1", port }
    , m_service(std::move(service))
    , m_script([](StreamSocket& socket, const std::string& request) {
        respondOK(socket, "answer to " + request.substr(0, request.find(" HTTP")));
    })
{
    m_egress.setAddress({ "127.0.0.1", egressPort });
    listen();
    m_announcer.startRepeating(300ms, [this] {
        if (m_running)
            announce();
    });
}

void FakeBackend::listen()
{
    m_listener = std::make_unique<Listener>();
    const auto started = m_listener->start(m_address, [this](RefPtr<StreamSocket> socket) {
        auto buffer = std::make_shared<std::string>();
        auto* raw = socket.get();
        socket->start({ [this, raw, buffer](std::span<const uint8_t> bytes) {
                           onBytes(*raw, *buffer, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
                       },
            nullptr, nullptr });
        m_connections.push_back(std::move(socket));
    });
    g_assert(started);
}

void FakeBackend::onBytes(StreamSocket& socket, std::string& buffer, std::string_view bytes)
{
    buffer.append(bytes);
    const auto headersEnd = buffer.find("\r\n\r\n");
    if (headersEnd == std::string::npos)
        return;
    const auto lengthAt = buffer.find("Content-Length: ");
    const size_t length = lengthAt < headersEnd ? std::strtoul(buffer.c_str() + lengthAt + 16, nullptr, 10) : 0;
    if (buffer.size() < headersEnd + 4 + length)
        return;
    const auto request = buffer.substr(0, headersEnd + 4 + length);
    buffer.erase(0, request.size());
    m_requests.push_back(request);
    m_script(socket, request);
}

void FakeBackend::announce()
{
    const std::string body = R"({"service":")" + m_service + R"(","address":")" + m_address.toString()
        + R"(","slots":4,"state":")" + (m_draining ? "draining" : "serving") + R"(","boot":")" + bootID + "\"}";
    m_egress.send(
        m_nextID++, { "POST", "/shallot/announce", { { "Host", "daemon" } }, body }, [](const Result<HTTPResponse>&) {});
}

void FakeBackend::setDraining(bool draining)
{
    m_draining = draining;
    announce();
}

void FakeBackend::crash()
{
    m_running = false;
    m_listener.reset();
    for (const auto& connection : m_connections)
        connection->close();
    m_connections.clear();
}

void FakeBackend::restart()
{
    static int boots = 1;
    bootID = "boot-" + std::to_string(++boots);
    listen();
    m_running = true;
    announce();
}

FleetHarness::FleetHarness(const std::vector<std::string>& zones, const std::string& service)
    : m_basePort(nextBasePort())
    , m_zones(zones)
{
    startLog();
    for (size_t i = 0; i < zones.size(); ++i) {
        Settings settings;
        settings.name = "daemon" + std::to_string(i);
        settings.zone = zones[i];
        settings.log.port = m_basePort;
        settings.ingress.port = port(i, 0);
        settings.egress.port = port(i, 1);
        settings.admin.port = port(i, 2);
        settings.peer.port = port(i, 3);
        settings.secret = "a secret for tests only";
        settings.operators = { "tester:" + sha256Hex("credential") };
        settings.allowFaults = true;
        settings.drainGrace = 300ms;
        settings.gossip.probeInterval = 100ms;
        m_daemons.push_back(std::make_unique<Daemon>(settings));
        const auto started = m_daemons.back()->start();
        g_assert(started);
        m_backends.push_back(std::make_unique<FakeBackend>(port(i, 4), port(i, 1), service));
        for (auto* pools : { &m_ingress, &m_admin })
            pools->push_back(std::make_unique<HTTPPool>());
        m_ingress.back()->setAddress({ "127.0.0.1", port(i, 0) });
        m_admin.back()->setAddress({ "127.0.0.1", port(i, 2) });
    }
    applyConfiguration();
}

FleetHarness::~FleetHarness()
{
    m_backends.clear();
    m_daemons.clear();
}

void FleetHarness::startLog()
{
    const auto started = m_logServer.start({ "127.0.0.1", m_basePort }, {}, [this](const RefPtr<HTTPExchange>& logExchange) {
        const auto& request = logExchange->request();
        if (m_log.faults().down) {
            logExchange->respondJSON(503, "{}");
            return;
        }
        if (logExchange->path() == "/append") {
            const auto outcome = m_log.append(request.body, MonotonicClock::now().time_since_epoch().count() / 1000);
            logExchange->respondJSON(outcome == LogStore::AppendOutcome::Stored ? 200 : 503, "{}");
            return;
        }
        JSONWriter writer;
        writer.beginObject().add("first", m_log.first()).add("next", m_log.next()).beginArray("records");
        for (const auto& record : m_log.read(queryNumber(request.target, "from"), 500))
            writer.beginObject().add("offset", record.offset).add("timeMs", record.timeMs).add("bytes", record.bytes).endObject();
        writer.endArray().endObject();
        logExchange->respondJSON(200, writer.finish());
    });
    g_assert(started);
}

Configuration FleetHarness::makeConfiguration() const
{
    Configuration configuration;
    for (const auto& zone : m_zones)
        configuration.zones[zone] = {};
    configuration.routes["profiles"] = { "/profiles", "profiles", 6, 1500 };
    configuration.routes["confirm"] = { "/confirm", "profiles", 7, 1500, false };
    configuration.routes["about"] = { "/about", "profiles", 1, 1500, true, true };
    configuration.plans["plan"] = { 3000, 3000, { "profiles", "confirm" } };
    configuration.plans["small"] = { 10, 4, { "profiles" } };
    configuration.organisations["school"] = { "plan", { sha256Hex("secret-key"), sha256Hex("other-key") } };
    configuration.organisations["tiny"] = { "small", { sha256Hex("tiny-key") } };
    return configuration;
}

void FleetHarness::applyConfiguration()
{
    edit(0, { 0, "", "", 0, difference({}, makeConfiguration()) });
    // The fleet is ready once every daemon serves a request of the organisation.
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        for (int tries = 0; tries < 100; ++tries) {
            const auto& exchange = fetch(i, "/profiles/warm-up");
            if (exchange.response && exchange.response->status == 200)
                break;
            runFor(100ms);
        }
    }
}

ConfigurationEdit FleetHarness::keyWithdrawalEdit() const
{
    auto wanted = makeConfiguration();
    wanted.organisations["school"].keyDigests = { sha256Hex("other-key") };
    // The base revision is far ahead, so that the edit never conflicts.
    return { 1'000'000, "", "", 0, difference(makeConfiguration(), wanted) };
}

bool FleetHarness::runUntil(const std::function<bool()>& condition)
{
    const auto start = MonotonicClock::now();
    while (!condition()) {
        if (MonotonicClock::now() - start > waitTimeout)
            return false;
        Timer wake;
        wake.startOnce(5ms, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void FleetHarness::runFor(Duration duration)
{
    const auto end = MonotonicClock::now() + duration;
    runUntil([end] { return MonotonicClock::now() >= end; });
}

std::shared_ptr<FleetHarness::Exchange> FleetHarness::send(size_t daemon, HTTPRequest request)
{
    auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    request.headers.emplace_back("Host", "shallot");
    m_ingress[daemon]->send(m_nextID++, request, [exchange](Result<HTTPResponse> response) {
        exchange->response = std::move(response);
        exchange->done = true;
    });
    return exchange;
}

std::shared_ptr<FleetHarness::Exchange> FleetHarness::get(size_t daemon, const std::string& target, const std::string& key)
{
    return send(daemon, { "GET", target, { { "Authorization", "Bearer " + key } }, {} });
}

std::shared_ptr<FleetHarness::Exchange> FleetHarness::post(
    size_t daemon, const std::string& target, const std::string& idempotencyKey, const std::string& key)
{
    return send(
        daemon, { "POST", target, { { "Authorization", "Bearer " + key }, { "Idempotency-Key", idempotencyKey } }, "order" });
}

std::shared_ptr<FleetHarness::Exchange> FleetHarness::edit(size_t daemon, const ConfigurationEdit& edit)
{
    auto exchange = std::make_shared<Exchange>();
    JSONWriter writer;
    writer.beginObject();
    writeEdit(writer, edit);
    writer.endObject();
    const HTTPRequest request { "POST", "/edits", { { "Host", "admin" }, { "Authorization", "Bearer credential" } },
        writer.finish() };
    m_admin[daemon]->send(m_nextID++, request, [exchange](Result<HTTPResponse> response) {
        exchange->response = std::move(response);
        exchange->done = true;
    });
    return exchange;
}

const FleetHarness::Exchange& FleetHarness::wait(const std::shared_ptr<Exchange>& exchange)
{
    runUntil([&exchange] { return exchange->done; });
    m_exchanges.push_back(exchange);
    return *exchange;
}

const FleetHarness::Exchange& FleetHarness::fetch(size_t daemon, const std::string& target, const std::string& key)
{
    return wait(get(daemon, target, key));
}

size_t FleetHarness::countRequests(std::string_view text) const
{
    size_t count = 0;
    for (const auto& backend : m_backends) {
        for (const auto& request : backend->requests())
            count += request.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

std::string FleetHarness::status(size_t daemon)
{
    return m_daemons[daemon]->status();
}

void FleetHarness::setFaults(size_t daemon, const std::string& blocked)
{
    m_admin[daemon]->send(m_nextID++, { "POST", "/faults", { { "Host", "admin" } }, R"({"blocked":[)" + blocked + "]}" },
        [](const Result<HTTPResponse>&) {});
    runFor(50ms);
}

std::string FleetHarness::Exchange::error() const
{
    return response ? std::string(findHeader(response->headers, "X-Shallot-Error")) : "connection: " + response.error().detail;
}

std::string FleetHarness::Exchange::ran() const
{
    return response ? std::string(findHeader(response->headers, "X-Shallot-Ran")) : std::string();
}

} // namespace shallot
