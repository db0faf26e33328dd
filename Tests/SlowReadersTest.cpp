// Callers outside the limits: many request long responses and read them slowly or not at all. The daemon held every response in
// memory until it was read, and the process ended when the memory of its instance was used up.
//
// A process of shallot-sidecar with a small memory limit; the crowd, the store and the backend server are in this process. Only
// what does not depend on the machine's speed is checked.

#include "RawEndpoint.h"
#include "SidecarProgram.h"
#include "StoreStandin.h"
#include "TestPorts.h"
#include "net/HTTPPool.h"
#include "platform/Names.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <glib-unix.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t memoryMB = 96;             // Of the instance, by the settings of the process
constexpr size_t crowd = 40;                // Callers, each with a response that it does not read in time
constexpr size_t longBodyBytes = 3'900'000; // Within what a single caller may get
constexpr size_t descriptorBound = 2 * crowd + 64;
constexpr size_t slowReadBytes = 4096;
constexpr auto slowReadInterval = 200ms;
constexpr auto maximumWait = 20s;

enum class Reading : uint8_t {
    Never,     // Nothing behind the first bytes
    Slowly,    // A few KB at a time
    Pipelined, // Several requests are sent at once, and no response is read
};

class SlowReaders : public testing::TestWithParam<Reading> {
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "shallot-readers-XXXXXX").string();
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        folder = pattern;
        store = std::make_unique<StoreStandin>(at(6));
        store->put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey),
            R"({"version":"r1","services":[{"name":"alpha","health_path":"/health","max_connections":100}],)"
            R"("tenants":[{"name":"school","api_keys":["key-1"]}],"virtual_hosts":[{"host":"app","paths":[{"name":"read",)"
            R"("path_prefix":"/read/","kind":"idempotent","timeout_s":5,"target_latency_s":1,"service":"alpha","attempts":2}]}]})");
        backend = std::make_unique<RawEndpoint>(at(4), "instance-0", [](StreamSocket& socket, const std::string& attempt) {
            socket.write(
                RawEndpoint::responseTo(attempt, attempt.starts_with("long") ? std::string(longBodyBytes, 'x') : "short"));
        });
        const auto settings = folder / "settings";
        std::ofstream(settings) << "node=daemon\nzone=zone\nservice=alpha\nlisten.outbound=" << at(1).toString()
                                << "\nlisten.ready=" << at(2).toString() << "\nlisten.control=" << at(3).toString()
                                << "\napp=" << at(4).toString() << "\ninternal_port_range=" << at(5).port << "," << at(5).port
                                << "\nplatform.addr=" << at(6).toString() << "\nlimits.memory_mb=" << memoryMB << "\n";
        pid = startMeasuredSidecarProgram(settings);
        control.setAddress(at(3));
        caller.setAddress(at(1));
        announcements.startRepeating(300ms, [this] { announce(); });
        ASSERT_TRUE(runUntil([this] { return fetchShort(); }));
    }

    void TearDown() override
    {
        readers.clear();
        if (pid) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    SocketAddress at(uint16_t port) const { return { "127.0.0.1", static_cast<uint16_t>(basePort + port) }; }

    static bool runUntil(const std::function<bool()>& condition)
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

    void announce()
    {
        HTTPRequest request { "POST", std::string(platform::path::announce) + "instance-0",
            { { "Host", "daemon" }, { "Content-Type", "application/json" } }, {} };
        request.body = R"({"service":"alpha","addr":")" + at(4).toString()
            + R"(","zone":"zone","version":"v1","slots":64,"state":"ready","cold_left_s":0,"born":1000,"seq":)"
            + std::to_string(++sequence) + "}";
        control.send(nextID++, request, [](const Result<HTTPResponse>&) {});
    }

    static std::string requestText(const std::string& attempt)
    {
        return "GET /read/1 HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + attempt + "\r\n"
            + std::string(platform::header::key) + ": key-1\r\n" + std::string(platform::header::deadline) + ": 5000\r\n\r\n";
    }

    // One ordinary request, of a caller that reads its response.
    bool fetchShort()
    {
        bool done = false;
        bool succeeded = false;
        const HTTPRequest request { "GET", "/read/1",
            { { "Host", "app" }, { std::string(platform::header::attemptID), "short-" + std::to_string(nextID) },
                { std::string(platform::header::key), "key-1" } },
            {} };
        caller.send(nextID++, request, [&](const Result<HTTPResponse>& response) {
            done = true;
            succeeded = response && response->status == 200 && response->body == "short";
        });
        return runUntil([&] { return done; }) && succeeded;
    }

    // Connects a caller with a small receive buffer, which requests a long response and stops reading at its first bytes.
    void addReader(size_t number)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int bufferBytes = slowReadBytes;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(at(1).port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target), 0);
        g_unix_set_fd_nonblocking(descriptor, TRUE, nullptr);
        auto reader = makeRef<StreamSocket>(descriptor);
        auto answered = std::make_shared<bool>(false);
        reader->start({ [this, answered, socket = reader.get()](std::span<const uint8_t> bytes) {
                           *answered = true;
                           receivedBytes += bytes.size();
                           socket->setReadPaused(!readsOn);
                       },
            nullptr, [answered](StreamEnd) { *answered = true; }, nullptr, nullptr, false });
        const auto attempt = "long-" + std::to_string(number);
        reader->write(requestText(attempt));
        if (GetParam() == Reading::Pipelined)
            reader->write(requestText(attempt + "b") + requestText(attempt + "c"));
        readers.push_back(reader);
        EXPECT_TRUE(runUntil([&] { return *answered; })) << number;
    }

    bool isAlive() const { return waitpid(pid, nullptr, WNOHANG) == 0; }

    size_t peakMemoryMB() const
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        constexpr size_t kilobytes = 1024;
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytes;
        }
        return 0;
    }

    size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid) + "/fd");
        return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
    }

    uint16_t basePort { nextBasePort() };
    std::filesystem::path folder;
    std::unique_ptr<StoreStandin> store;
    std::unique_ptr<RawEndpoint> backend;
    HTTPPool control;
    HTTPPool caller;
    Timer announcements;
    Timer slowReads;
    std::vector<RefPtr<StreamSocket>> readers;
    pid_t pid { 0 };
    uint64_t nextID { 1 };
    uint64_t sequence { 0 };
    size_t receivedBytes { 0 }; // By all readers
    bool readsOn { false };     // The readers do not stop after the first bytes
};

TEST_P(SlowReaders, TheProcessLivesWithinItsMemoryAndServesOthers)
{
    if (GetParam() == Reading::Slowly) {
        slowReads.startRepeating(slowReadInterval, [this] {
            for (const auto& reader : readers) {
                reader->setReadPaused(false);
                reader->readNow();
            }
        });
    }
    for (size_t i = 0; i < crowd && isAlive(); ++i)
        addReader(i);
    ASSERT_TRUE(isAlive());
    EXPECT_TRUE(fetchShort());
    EXPECT_LE(peakMemoryMB(), memoryBoundMB(memoryMB));
    EXPECT_LE(openDescriptors(), descriptorBound);
}

// The limit must not meet a caller that is alone, however slowly it reads.
TEST_P(SlowReaders, ASingleLongResponseIsHeldForItsCaller)
{
    addReader(0);
    ASSERT_TRUE(fetchShort());
    readsOn = true;
    readers[0]->setReadPaused(false);
    const size_t expected = longBodyBytes * (GetParam() == Reading::Pipelined ? 3 : 1);
    EXPECT_TRUE(runUntil([&] { return receivedBytes >= expected; })) << receivedBytes;
    EXPECT_TRUE(isAlive());
}

INSTANTIATE_TEST_SUITE_P(Callers, SlowReaders, testing::Values(Reading::Never, Reading::Slowly, Reading::Pipelined));

} // namespace
} // namespace shallot
