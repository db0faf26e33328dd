// Signals and changes of the settings around the start and the stop of a shallot-sidecar process, and what must not end it.

#include "SidecarProgram.h"
#include "TestPorts.h"
#include "core/Time.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gio/gio.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

class SidecarProcess : public testing::Test {
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "shallot-process-XXXXXX").string();
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        folder = pattern;
        settings = folder / "settings";
    }

    void TearDown() override
    {
        if (pid) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    void writeSettings(const std::filesystem::path& path, const std::string& shutdownTime) const
    {
        const auto at = [this](unsigned port) { return "127.0.0.1:" + std::to_string(basePort + port); };
        std::ofstream(path) << "node=daemon\nzone=zone\nservice=alpha\nlisten.outbound=" << at(1) << "\nlisten.ready=" << at(2)
                            << "\nlisten.control=" << at(3) << "\napp=" << at(4) << "\ninternal_port_range=" << basePort + 5
                            << "," << basePort + 5 << "\nplatform.addr=" << at(6) << "\nbounds.grace_s=" << shutdownTime << "\n";
    }

    void start() { pid = startSidecarProgram(settings); }

    static bool waitUntil(const std::function<bool()>& condition, Duration timeout = 5s)
    {
        const auto end = MonotonicClock::now() + timeout;
        while (!condition()) {
            if (MonotonicClock::now() > end)
                return false;
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    // Returns while the process reads its settings from a pipe, which then end.
    bool startAndSignalBeforeItListens(int signal)
    {
        if (mkfifo(settings.c_str(), S_IRUSR | S_IWUSR))
            return false;
        start();
        int pipe = -1;
        if (!waitUntil([&] { return (pipe = open(settings.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }))
            return false;
        kill(pid, signal);
        const auto file = folder / "file";
        writeSettings(file, "3");
        std::ifstream text(file);
        const std::string content((std::istreambuf_iterator<char>(text)), {});
        const bool written = write(pipe, content.data(), content.size()) == static_cast<ssize_t>(content.size());
        std::filesystem::rename(file, settings);
        close(pipe);
        return written;
    }

    // Sends one request after the other on kept connections until nothing listens, and stops the process after some of them.
    // Returns how many had no response although their connection had been kept.
    size_t countUnansweredOverAStop(uint16_t port, const std::string& request)
    {
        constexpr size_t requestsBeforeStop = 20;
        size_t answered = 0;
        size_t unanswered = 0;
        while (const int connection = connectTo(port)) {
            for (bool isKept = true, hasServed = false; isKept; hasServed = true) {
                std::this_thread::sleep_for(2ms);
                const auto response = exchange(connection, request);
                unanswered += response.empty() && hasServed ? 1 : 0;
                isKept = !response.empty() && response.find("Connection: close") == std::string::npos;
                answered += response.empty() ? 0 : 1;
                if (answered == requestsBeforeStop)
                    kill(pid, SIGTERM);
            }
            close(connection);
        }
        EXPECT_GT(answered, requestsBeforeStop);
        return unanswered;
    }

    // A connected socket with blocking reads; 0: refused.
    int connectTo(uint16_t port) const
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(basePort + port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (!::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target))
            return descriptor;
        close(descriptor);
        return 0;
    }

    // Returns the response, which has a short body; empty if the connection ended without one.
    static std::string exchange(int connection, const std::string& request)
    {
        std::array<char, 4096> bytes {};
        if (::send(connection, request.data(), request.size(), MSG_NOSIGNAL) < 0)
            return {};
        const auto size = ::recv(connection, bytes.data(), bytes.size(), 0);
        return size > 0 ? std::string(bytes.data(), static_cast<size_t>(size)) : std::string();
    }

    void startWithLog()
    {
        writeSettings(settings, "6");
        setenv("SHALLOT_SIDECAR_LOG", log().c_str(), 1);
        start();
        unsetenv("SHALLOT_SIDECAR_LOG");
    }

    std::filesystem::path log() const { return folder / "log"; }

    bool logs(const std::string& text) const
    {
        std::ifstream file(log());
        return std::string((std::istreambuf_iterator<char>(file)), {}).find(text) != std::string::npos;
    }

    static std::string heartbeat(const std::string& body)
    {
        return "POST /shallottrack/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\n"
               "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Sends a heartbeat with that body on a connection of its own. Returns the response; empty if there was none.
    std::string announce(const std::string& body) const
    {
        const int connection = connectTo(3);
        if (!connection)
            return {};
        auto response = exchange(connection, heartbeat(body));
        close(connection);
        return response;
    }

    bool hasEnded() { return waitpid(pid, &status, WNOHANG) == pid && std::exchange(pid, 0); }

    bool listens() const
    {
        GSocketClient* client = g_socket_client_new();
        GSocketConnection* connection
            = g_socket_client_connect_to_host(client, "127.0.0.1", static_cast<guint16>(basePort + 1), nullptr, nullptr);
        const bool connected = connection != nullptr;
        g_clear_object(&connection);
        g_object_unref(client);
        return connected;
    }

    uint16_t basePort { nextBasePort() };
    std::filesystem::path folder;
    std::filesystem::path settings;
    pid_t pid { 0 };
    int status { 0 };
};

TEST_F(SidecarProcess, AReloadDuringTheStartDoesNotEndIt)
{
    ASSERT_TRUE(startAndSignalBeforeItListens(SIGHUP));
    EXPECT_TRUE(waitUntil([this] { return listens(); }));
    EXPECT_FALSE(hasEnded()) << "wait status " << status;
}

TEST_F(SidecarProcess, AStopDuringTheStartIsAnOrderlyOne)
{
    ASSERT_TRUE(startAndSignalBeforeItListens(SIGTERM));
    ASSERT_TRUE(waitUntil([this] { return hasEnded(); }));
    EXPECT_TRUE(WIFEXITED(status) && !WEXITSTATUS(status)) << "wait status " << status;
}

TEST_F(SidecarProcess, AStopObservesAShutdownTimeThatHasJustBecomeShorter)
{
    writeSettings(settings, "8");
    start();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
    writeSettings(settings, "2.4");
    kill(pid, SIGTERM);
    EXPECT_TRUE(waitUntil([this] { return hasEnded(); }, 2400ms));
    EXPECT_TRUE(WIFEXITED(status) && !WEXITSTATUS(status)) << "wait status " << status;
}

TEST_F(SidecarProcess, AStopAnswersEachReadinessProbeOfAKeptConnection)
{
    writeSettings(settings, "6");
    start();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
    EXPECT_EQ(countUnansweredOverAStop(2, "GET /shallottrack/readiness HTTP/1.1\r\nHost: daemon\r\n\r\n"), 0U);
}

TEST_F(SidecarProcess, AStopAnswersEachAnnouncementOfAKeptConnection)
{
    writeSettings(settings, "6");
    start();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
    const std::string body = R"({"service":"alpha","addr":"127.0.0.1:)" + std::to_string(basePort + 4)
        + R"(","zone":"zone","version":"v1","slots":4,"state":"ready","cold_left_s":0,"seq":1,"born":1000})";
    EXPECT_EQ(countUnansweredOverAStop(3, heartbeat(body)), 0U);
}

TEST_F(SidecarProcess, ALogFileThatMayNotGrowDoesNotEndIt)
{
    constexpr rlim_t largestFile = 4096;
    startWithLog();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
    const rlimit limit { largestFile, largestFile };
    ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &limit, nullptr), 0);
    const std::string request = "GET /none HTTP/1.1\r\nHost: app\r\n\r\n";
    const int connection = connectTo(1);
    EXPECT_TRUE(
        waitUntil([&] { return exchange(connection, request).empty() || std::filesystem::file_size(log()) == largestFile; }));
    std::this_thread::sleep_for(1s); // Two flushes of the log
    EXPECT_FALSE(hasEnded()) << "wait status " << status;
    EXPECT_FALSE(exchange(connection, request).empty());
    close(connection);
}

TEST_F(SidecarProcess, AnAnnouncementThatIsNestedDeeplyDoesNotEndIt)
{
    startWithLog();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
    EXPECT_TRUE(announce(R"({"service":)" + std::string(1'000'000, '[')).starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(announce(R"({"service":"alpha"})").starts_with("HTTP/1.1 400"));
    EXPECT_FALSE(hasEnded()) << "wait status " << status;
}

TEST_F(SidecarProcess, ALongAnnouncementDoesNotTakeItsMemory)
{
    startWithLog();
    ASSERT_TRUE(waitUntil([this] { return listens(); }));
#if !defined(__SANITIZE_ADDRESS__) // Its own memory would count
    constexpr rlim_t memory = 260 * 1024 * 1024;
    const rlimit limit { memory, memory };
    ASSERT_EQ(prlimit(pid, RLIMIT_DATA, &limit, nullptr), 0);
#endif
    std::string body = R"({"service":[{})";
    while (body.size() < 7'900'000)
        body += ",{}";
    EXPECT_TRUE(announce(body + "]}").starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(announce(R"({"service":"alpha"})").starts_with("HTTP/1.1 400"));
    EXPECT_FALSE(hasEnded()) << "wait status " << status;
}

TEST_F(SidecarProcess, AnEndByAFatalSignalIsLogged)
{
    for (const int signal : { SIGSEGV, SIGABRT, SIGTRAP, SIGXCPU, SIGQUIT }) {
        setenv("ASAN_OPTIONS", "handle_segv=0", 1); // Its own handler would stay
        startWithLog();
        unsetenv("ASAN_OPTIONS");
        ASSERT_TRUE(waitUntil([this] { return listens(); }));
        kill(pid, signal);
        ASSERT_TRUE(waitUntil([this] { return hasEnded(); }));
        EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == signal) << "wait status " << status;
        EXPECT_TRUE(logs(R"("event":"process-end","signal":)" + std::to_string(signal)));
    }
}

} // namespace
} // namespace shallot
