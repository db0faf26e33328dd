// What becomes of calls at a daemon that is a process of its own: its end is seen by its peers' kernels first.

#include "SidecarHarness.h"
#include "SidecarProgram.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// Daemon 0 is a process; its backend server, the other daemon and the store are here.
class StoppedDaemon : public testing::Test {
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "shallot-stopped-XXXXXX").string();
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        folder = pattern;
        mesh.timeLimit = 8;
        mesh.writeConfiguration(2);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.stop(0);
        start();
        const auto before = mesh.endpoint(0).requests().size();
        ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(1, "/read/1").status() == 200; }));
        ASSERT_GT(mesh.endpoint(0).requests().size(), before);
        mesh.runFor(500ms);
        mesh.endpoint(0).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            held.emplace_back(connection, request);
        });
    }

    void TearDown() override
    {
        if (!hasEnded()) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    void start()
    {
        const auto own = mesh.instanceSettings(0);
        const auto settings = folder / "settings";
        std::ofstream(settings) << "node=" << own.instance << "\nzone=" << own.zone << "\nservice=" << own.service
                                << "\nlisten.outbound=" << own.callers.toString() << "\nlisten.ready=" << own.readiness.toString()
                                << "\nlisten.control=" << own.announcements.toString() << "\napp=" << own.backendServer.toString()
                                << "\ninternal_port_range=" << own.peers.port << "," << own.peers.port
                                << "\nplatform.addr=" << own.store.toString() << "\n";
        pid = startSidecarProgram(settings);
    }

    bool hasEnded()
    {
        ended = ended || waitpid(pid, nullptr, WNOHANG) == pid;
        return ended;
    }

    SidecarHarness mesh { { "zone-a/alpha", "zone-a/beta" } };
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> held; // Runs at the process's backend server
    std::filesystem::path folder;
    pid_t pid { 0 };
    bool ended { false };
};

TEST_F(StoppedDaemon, AnAnswerThatAPeerReadsLateIsNotLost)
{
    constexpr size_t bodyBytes = 400'000; // More than the kernel of a peer that reads nothing takes
    const auto first = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    kill(pid, SIGTERM);
    mesh.runFor(2900ms); // Callers are refused, and nothing else is at work
    std::string body;
    for (uint32_t i = 0; i < bodyBytes; ++i)
        body += static_cast<char>('!' + (i * 2654435761U >> 13U) % 90); // Hardly compressible
    EndpointStandin::respond(*held.front().first, held.front().second, 200, body);
    const auto second = mesh.send(1, { "POST", "/order/2", {}, {} }); // Is read first when the peer goes on
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(mesh.wait(first).status(), 200);
    EXPECT_EQ(mesh.wait(second).status(), 503);
    EXPECT_EQ(mesh.executionCount("/order/2"), 0U);
    EXPECT_TRUE(mesh.runUntil([this] { return hasEnded(); }));
}

} // namespace
} // namespace shallot
