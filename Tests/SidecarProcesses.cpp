#include "SidecarProcesses.h"

#include "SidecarProgram.h"
#include "TestPorts.h"
#include "platform/Names.h"

#include <csignal>
#include <fstream>
#include <glib.h>
#include <sys/wait.h>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto maximumWait = 30s;
constexpr auto wakeInterval = 20ms;
constexpr uint16_t storeOffset = 10; // Behind the ports of the daemons

size_t peakMemoryOf(pid_t pid)
{
    constexpr size_t kilobytes = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytes;
    }
    return 0;
}

size_t descriptorsOf(pid_t pid)
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace

SidecarProcesses::SidecarProcesses(size_t memoryMB)
    : m_basePort(nextBasePort())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "shallot-processes-XXXXXX").string();
    g_assert(mkdtemp(pattern.data()));
    m_folder = pattern;
    const SocketAddress storeAddress { "127.0.0.1", static_cast<uint16_t>(m_basePort + storeOffset) };
    m_store = std::make_unique<StoreStandin>(storeAddress);
    m_store->put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey),
        R"({"version":"r1","services":[{"name":"alpha","health_path":"/health","max_connections":500},)"
        R"({"name":"beta","health_path":"/health","max_connections":500}],)"
        R"("tenants":[{"name":"school","api_keys":["key-1"]}],"virtual_hosts":[{"host":"app","paths":[{"name":"read",)"
        R"("path_prefix":"/read/","kind":"idempotent","timeout_s":120,"target_latency_s":5,"service":"alpha","attempts":2}]}]})");
    m_backend = std::make_unique<RawEndpoint>(at(1, BackendServer), "instance-1",
        [this](StreamSocket& socket, const std::string& attempt) { respond(socket, attempt); });
    for (size_t daemon = 0; daemon < daemonCount; ++daemon)
        start(daemon, memoryMB);
    m_control.setAddress(at(1, Announcements));
    m_caller.setAddress(callersAddress());
    m_announcements.startRepeating(300ms, [this] { announce(); });
}

SidecarProcesses::~SidecarProcesses()
{
    for (const auto pid : m_pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(m_folder);
}

SocketAddress SidecarProcesses::at(size_t daemon, Port port) const
{
    return { "127.0.0.1", static_cast<uint16_t>(m_basePort + daemon * portsPerDaemon + port) };
}

void SidecarProcesses::start(size_t daemon, size_t memoryMB)
{
    const auto settings = m_folder / ("settings-" + std::to_string(daemon));
    std::ofstream(settings) << "node=daemon-" << daemon << "\nzone=zone\nservice=" << (daemon ? "alpha" : "beta")
                            << "\nlisten.outbound=" << at(daemon, Callers).toString()
                            << "\nlisten.ready=" << at(daemon, Readiness).toString()
                            << "\nlisten.control=" << at(daemon, Announcements).toString()
                            << "\napp=" << at(daemon, BackendServer).toString()
                            << "\ninternal_port_range=" << at(daemon, Peers).port << "," << at(daemon, Peers).port
                            << "\nplatform.addr=127.0.0.1:" << m_basePort + storeOffset << "\nlimits.memory_mb=" << memoryMB
                            << "\n";
    m_pids.push_back(startMeasuredSidecarProgram(settings));
}

void SidecarProcesses::announce()
{
    HTTPRequest request { "POST", std::string(platform::path::announce) + "instance-1",
        { { "Host", "daemon" }, { "Content-Type", "application/json" } }, {} };
    request.body = R"({"service":"alpha","addr":")" + at(1, BackendServer).toString()
        + R"(","zone":"zone","version":"v1","slots":400,"state":"ready","cold_left_s":0,"born":1000,"seq":)"
        + std::to_string(++m_sequence) + "}";
    m_control.send(m_nextID++, request, [](const Result<HTTPResponse>&) {});
}

void SidecarProcesses::respond(StreamSocket& socket, const std::string& attempt)
{
    m_ran.insert(attempt);
    if (attempt.starts_with("held") && m_holds)
        m_held[attempt] = RefPtr<StreamSocket>(&socket);
    else
        socket.write(RawEndpoint::responseTo(attempt, attempt.starts_with("long") ? std::string(longBodyBytes, 'x') : "short"));
}

void SidecarProcesses::answerHeld()
{
    m_holds = false;
    for (const auto& [attempt, socket] : std::exchange(m_held, {}))
        socket->write(RawEndpoint::responseTo(attempt, "held"));
}

bool SidecarProcesses::runUntil(const std::function<bool()>& condition)
{
    const auto end = MonotonicClock::now() + maximumWait;
    while (!condition()) {
        if (MonotonicClock::now() > end)
            return false;
        Timer wake;
        wake.startOnce(wakeInterval, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void SidecarProcesses::runFor(Duration duration)
{
    const auto end = MonotonicClock::now() + duration;
    runUntil([end] { return MonotonicClock::now() >= end; });
}

std::string SidecarProcesses::requestText(const std::string& attempt)
{
    return "GET /read/1 HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + attempt + "\r\n"
        + std::string(platform::header::key) + ": key-1\r\n" + std::string(platform::header::deadline) + ": 120000\r\n\r\n";
}

bool SidecarProcesses::fetchShort()
{
    bool done = false;
    bool succeeded = false;
    const HTTPRequest request { "GET", "/read/1",
        { { "Host", "app" }, { std::string(platform::header::attemptID), "short-" + std::to_string(m_nextID) },
            { std::string(platform::header::key), "key-1" } },
        {} };
    m_caller.send(m_nextID++, request, [&](const Result<HTTPResponse>& response) {
        done = true;
        succeeded = response && response->status == 200 && response->body == "short";
    });
    return runUntil([&] { return done; }) && succeeded;
}

bool SidecarProcesses::areAlive() const
{
    return std::all_of(m_pids.begin(), m_pids.end(), [](pid_t pid) { return waitpid(pid, nullptr, WNOHANG) == 0; });
}

size_t SidecarProcesses::peakMemoryMB() const
{
    size_t peak = 0;
    for (const auto pid : m_pids)
        peak = std::max(peak, peakMemoryOf(pid));
    return peak;
}

size_t SidecarProcesses::openDescriptors() const
{
    size_t most = 0;
    for (const auto pid : m_pids)
        most = std::max(most, descriptorsOf(pid));
    return most;
}

} // namespace shallot
