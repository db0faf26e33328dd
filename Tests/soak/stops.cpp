// Planned work on real shallot-sidecar processes: stops, reloads and configuration changes in series that overlap, under callers
// that keep their connections, pipeline requests and send large bodies. Checks that no request that a daemon has read ends
// without an answer, and that no run is broken off.
//
//   shallot-stops PROGRAM SEED SECONDS
//
// Prints one line and exits with 0 if no check failed. SHALLOT_STOPS_DAEMONS and SHALLOT_STOPS_CALLERS set the numbers of daemons
// and of callers beside each one; with SHALLOT_SOAK_KEEP set the processes' logs are kept in that folder.

#include "KeptConnection.h"
#include "StoreStandin.h"
#include "TestPorts.h"
#include "core/Log.h"
#include "net/HTTPPool.h"
#include "platform/Names.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <glib.h>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t zoneCount = 3;
constexpr uint16_t portsPerDaemon = 5;
constexpr auto shutdownTime = 6s;
constexpr auto actionInterval = 500ms; // Mean time between two stops, reloads or changes
constexpr auto settlingTime = 1500ms;  // After the start, before the first request
constexpr auto answerSlack = 200ms;    // A request that was sent earlier than this before its connection ended has been read
constexpr auto excusedArrival = 3s;    // After SIGTERM; runs of requests sent later must be complete at the end
constexpr auto excusedEnd = shutdownTime * 5 / 6; // After SIGTERM; a run that goes on until then may be broken off
constexpr auto restartDelay = 400ms;              // At most
constexpr size_t largeBodyBytes = 60'000;
constexpr size_t maximumReportedCases = 12;

enum Port : uint16_t { Callers, Ready, Control, Peers, Backend };

size_t numberFromEnvironment(const char* name, size_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoul(text, nullptr, 10) : fallback;
}

class PlannedStops {
public:
    PlannedStops(std::string program, unsigned seed, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_random(seed)
        , m_daemonCount(numberFromEnvironment("SHALLOT_STOPS_DAEMONS", 9))
        , m_callerCount(numberFromEnvironment("SHALLOT_STOPS_CALLERS", 4 + m_random() % 12))
        , m_basePort(nextBasePort())
        , m_store({ "127.0.0.1", m_basePort })
    {
        configure();
        for (size_t i = 0; i < m_daemonCount; ++i)
            m_daemons.push_back(makeDaemon(i));
    }

    ~PlannedStops()
    {
        for (auto& daemon : m_daemons) {
            daemon->connections.clear();
            if (daemon->pid) {
                kill(daemon->pid, SIGKILL);
                waitpid(daemon->pid, nullptr, 0);
            }
        }
    }

    int run(Duration length)
    {
        const auto start = MonotonicClock::now();
        const auto actionsEnd = start + length;
        const auto end = actionsEnd + shutdownTime;
        TimePoint nextAction = start + 2 * settlingTime;
        TimePoint nextAnnouncement = start;
        while (MonotonicClock::now() < end) {
            const auto now = MonotonicClock::now();
            if (now >= nextAnnouncement) {
                nextAnnouncement = now + 300ms;
                for (auto& daemon : m_daemons)
                    announce(*daemon);
            }
            if (now >= nextAction && now < actionsEnd) {
                nextAction = now + randomUpTo(2 * actionInterval);
                act();
            }
            reap(now);
            respondDue(now);
            if (now > start + settlingTime && now < end - 1s)
                sendDue(now);
            Timer wake;
            wake.startOnce(2ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
        return report();
    }

private:
    struct Attempt {
        size_t daemon { 0 };
        TimePoint sent {};
        TimePoint started {}; // At a backend server; TimePoint(): not
        unsigned runs { 0 };
        unsigned openRuns { 0 };
        uint16_t status { 0 }; // 0: none yet
        bool idempotent { true };
    };

    struct Caller {
        std::unique_ptr<KeptConnection> connection;
        TimePoint nextBatch {};
    };

    struct DaemonProcess {
        size_t index { 0 };
        pid_t pid { 0 };
        TimePoint stopRequested {}; // TimePoint(): it is not leaving
        TimePoint startAt {};       // While it is not running
        std::unique_ptr<StrictHTTPServer> backend;
        HTTPPool control;
        std::vector<Caller> connections;
        uint64_t sequence { 0 };
    };

    struct Run {
        TimePoint due {};
        RefPtr<StrictHTTPConnection> connection;
        std::string attempt;
    };

    SocketAddress address(size_t daemon, uint16_t port) const
    {
        return { "127.0.0.1", static_cast<uint16_t>(m_basePort + 1 + daemon * portsPerDaemon + port) };
    }

    Duration randomUpTo(Duration maximum)
    {
        return Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>(maximum.count())));
    }

    // Each version moves weights between two routes that stay valid, so that no request is refused by a change.
    void configure()
    {
        const auto route = [this](const char* prefix, const char* kind) {
            return std::string(R"({"name":")") + kind + R"(","path_prefix":")" + prefix + R"(","kind":")" + kind
                + R"(","timeout_s":)" + (m_version % 2 ? "8" : "9")
                + R"(,"target_latency_s":2,"priority":1,"service":"alpha","attempts":2,"anonymous":false})";
        };
        m_store.put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey),
            R"({"version":"r)" + std::to_string(++m_version)
                + R"(","services":[{"name":"alpha","health_path":"/health","max_connections":100}],)"
                + R"("tenants":[{"name":"school","api_keys":["key-1"]}],"virtual_hosts":[{"host":"app","paths":[)"
                + route("/read/", "idempotent") + "," + route("/order/", "non_idempotent") + "]}]}");
    }

    std::unique_ptr<DaemonProcess> makeDaemon(size_t index)
    {
        auto daemon = std::make_unique<DaemonProcess>();
        daemon->index = index;
        daemon->control.setAddress(address(index, Control));
        daemon->connections.resize(m_callerCount);
        daemon->backend = std::make_unique<StrictHTTPServer>();
        const auto started = daemon->backend->start(address(index, Backend), {},
            { [this, index](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 serve(index, connection, request);
             },
                [this](StrictHTTPConnection& connection) { breakOff(connection); } });
        g_assert(started);
        std::ofstream(settingsPath(index)) << "node=daemon-" << index << "\nzone=zone-" << index % zoneCount
                                           << "\nservice=alpha\n"
                                           << "listen.outbound=" << address(index, Callers).toString()
                                           << "\nlisten.ready=" << address(index, Ready).toString()
                                           << "\nlisten.control=" << address(index, Control).toString()
                                           << "\napp=" << address(index, Backend).toString()
                                           << "\ninternal_port_range=" << address(index, Peers).port << ","
                                           << address(index, Peers).port << "\nplatform.addr=127.0.0.1:" << m_basePort
                                           << "\nheartbeat_s=0.3\nbounds.grace_s=" << toSeconds(shutdownTime)
                                           << "\nbounds.revoke_s=5\n";
        start(*daemon);
        return daemon;
    }

    std::string settingsPath(size_t index) const { return m_folder + "/settings-" + std::to_string(index); }

    void start(DaemonProcess& daemon)
    {
        daemon.stopRequested = {};
        daemon.pid = fork();
        if (daemon.pid)
            return;
        setenv("SHALLOTTRACK_CONFIG", settingsPath(daemon.index).c_str(), 1);
        setenv("SHALLOT_PEER_SECRET", "a secret of the soak", 1);
        const auto log = m_folder + "/log-" + std::to_string(daemon.index);
        if (!std::freopen(log.c_str(), "a", stdout))
            _exit(126);
        execl(m_program.c_str(), m_program.c_str(), nullptr);
        _exit(127);
    }

    void reap(TimePoint now)
    {
        for (auto& daemon : m_daemons) {
            int status = 0;
            if (daemon->pid && waitpid(daemon->pid, &status, WNOHANG) > 0) {
                if (!WIFEXITED(status) || WEXITSTATUS(status) || daemon->stopRequested == TimePoint())
                    fail("daemon-" + std::to_string(daemon->index) + " exited, wait status " + std::to_string(status));
                daemon->pid = 0;
                daemon->startAt = now + randomUpTo(restartDelay);
            }
            if (!daemon->pid && now >= daemon->startAt)
                start(*daemon);
        }
    }

    // Planned work

    void act()
    {
        ++m_actions;
        switch (m_random() % 6) {
        case 0:
        case 1:
        case 2:
            stopOne();
            break;
        case 3:
        case 4:
            for (auto i = m_random() % 5; i-- > 0;) {
                auto& daemon = *m_daemons[m_random() % m_daemonCount];
                if (daemon.pid)
                    kill(daemon.pid, SIGHUP);
            }
            break;
        case 5:
            configure();
            break;
        }
    }

    // At most a third of the daemons leave at the same time. One that leaves may get the signal again.
    void stopOne()
    {
        auto& daemon = *m_daemons[m_random() % m_daemonCount];
        const auto leaving = static_cast<size_t>(std::count_if(
            m_daemons.begin(), m_daemons.end(), [](const auto& other) { return other->stopRequested != TimePoint(); }));
        if (!daemon.pid || (daemon.stopRequested == TimePoint() && leaving >= m_daemonCount / 3))
            return;
        if (daemon.stopRequested == TimePoint())
            daemon.stopRequested = MonotonicClock::now();
        kill(daemon.pid, SIGTERM);
    }

    // Backend servers

    void serve(size_t index, const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
    {
        const auto now = MonotonicClock::now();
        if (request.target == "/health") {
            const HTTPHeaders headers { { std::string(platform::header::instance), "instance-" + std::to_string(index) },
                { std::string(platform::header::load), "0,0,8" } };
            connection->respond({ 200, headers, {} }, false, now);
            return;
        }
        const std::string id(findHeader(request.headers, platform::header::attemptID));
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end()) {
            fail("a backend server received a request that no caller sent: " + id);
            return;
        }
        auto& attempt = found->second;
        ++attempt.openRuns;
        attempt.started = now;
        if (++attempt.runs > 1 && !attempt.idempotent)
            fail("a non-idempotent request ran more than once: " + id);
        if (attempt.status == 503 || attempt.status == 429)
            fail("a request ran after its caller got 503 or 429: " + id);
        const auto kind = m_random() % 20;
        const Duration longest = kind == 0 ? Duration(2500ms) : kind < 4 ? Duration(600ms) : Duration(60ms);
        m_runs.push_back({ now + randomUpTo(longest), connection, id });
    }

    void respondDue(TimePoint now)
    {
        for (size_t i = 0; i < m_runs.size();) {
            if (m_runs[i].due > now) {
                ++i;
                continue;
            }
            const auto run = m_runs[i];
            m_runs.erase(m_runs.begin() + static_cast<ptrdiff_t>(i));
            --m_attempts[run.attempt].openRuns;
            const HTTPHeaders headers { { std::string(platform::header::attemptID), run.attempt },
                { std::string(platform::header::seal), "seal" } };
            run.connection->respond({ 200, headers, "answer to " + run.attempt }, false, now);
        }
    }

    // The daemon closed the connection of a run that was in progress.
    void breakOff(const StrictHTTPConnection& connection)
    {
        for (const auto& run : m_runs) {
            if (run.connection.get() == &connection)
                m_brokenOff.insert(run.attempt);
        }
    }

    void announce(DaemonProcess& daemon)
    {
        const auto body = R"({"service":"alpha","addr":")" + address(daemon.index, Backend).toString()
            + R"(","zone":"z","version":"v1","slots":8,"cold_left_s":0,"born":1000,"state":"ready","seq":)"
            + std::to_string(++daemon.sequence) + "}";
        daemon.control.send(++m_nextID,
            { "POST", std::string(platform::path::announce) + "instance-" + std::to_string(daemon.index), { { "Host", "c" } },
                body },
            [](const Result<HTTPResponse>&) {});
    }

    // Callers

    void sendDue(TimePoint now)
    {
        for (auto& daemon : m_daemons) {
            for (auto& caller : daemon->connections) {
                if (now < caller.nextBatch || (caller.connection && caller.connection->pending()))
                    continue;
                // Callers start no connection to a daemon that is not ready for longer than the readiness probes take.
                const bool isGone = !daemon->pid || (daemon->stopRequested != TimePoint() && now > daemon->stopRequested + 2s);
                const bool isOpen = caller.connection && caller.connection->isOpen();
                caller.nextBatch = now + randomUpTo(60ms);
                if (!isOpen && isGone)
                    continue;
                if (!isOpen)
                    connect(*daemon, caller);
                sendBatch(*daemon, caller, now);
            }
        }
    }

    void connect(const DaemonProcess& daemon, Caller& caller)
    {
        caller.connection = std::make_unique<KeptConnection>(address(daemon.index, Callers),
            KeptConnection::Callbacks {
                [this](const std::string& id, uint16_t status, const std::string& body) { onAnswer(id, status, body); },
                [this](const std::vector<std::string>& ids) { onEnd(ids); },
            });
    }

    // A third of the batches are pipelined.
    void sendBatch(const DaemonProcess& daemon, Caller& caller, TimePoint now)
    {
        std::string text;
        std::vector<std::string> ids;
        for (size_t count = m_random() % 3 ? 1 : 2 + m_random() % 2; count; --count) {
            ids.push_back("attempt-" + std::to_string(++m_nextID));
            auto& attempt = m_attempts[ids.back()];
            attempt.daemon = daemon.index;
            attempt.sent = now;
            attempt.idempotent = m_random() % 2;
            const std::string body(m_random() % 8 ? m_random() % 200 : largeBodyBytes, 'b');
            text += std::string(attempt.idempotent ? "PUT /read/" : "POST /order/") + " HTTP/1.1\r\nHost: app\r\n"
                + std::string(platform::header::attemptID) + ": " + ids.back() + "\r\n" + std::string(platform::header::key)
                + ": key-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        caller.connection->send(text, std::move(ids));
    }

    void onAnswer(const std::string& id, uint16_t status, const std::string& body)
    {
        auto& attempt = m_attempts[id];
        attempt.status = status;
        ++m_statuses[status];
        if (status == 200 && body != "answer to " + id)
            fail("a caller got an unexpected response body: " + id);
        if ((status == 503 || status == 429) && attempt.runs)
            fail("a caller got 503 or 429 for a request that ran: " + id);
        if (status == 200 || status == 503 || status == 429)
            return;
        if (!isExcused(attempt))
            reportCase(attempt.openRuns ? "broken off" : attempt.runs ? "failed after its run" : "failed without a run", id);
    }

    void onEnd(const std::vector<std::string>& ids)
    {
        const auto now = MonotonicClock::now();
        for (const auto& id : ids) {
            const auto& attempt = m_attempts[id];
            ++m_statuses[0];
            const bool wasRead = attempt.runs || now - attempt.sent > answerSlack;
            if (wasRead && !isExcused(attempt))
                reportCase(attempt.runs ? "lost after it was passed on" : "lost after it was read", id);
        }
    }

    bool isExcused(const Attempt& attempt) const
    {
        const auto stopped = m_daemons[attempt.daemon]->stopRequested;
        const auto now = MonotonicClock::now();
        return stopped != TimePoint() && attempt.openRuns && attempt.sent <= stopped + excusedArrival
            && now >= stopped + excusedEnd;
    }

    // Result

    void reportCase(const std::string& kind, const std::string& id)
    {
        ++m_cases[kind];
        m_failed = true;
        if (m_reported++ >= maximumReportedCases)
            return;
        const auto& attempt = m_attempts[id];
        const auto now = MonotonicClock::now();
        const auto stopped = m_daemons[attempt.daemon]->stopRequested;
        std::cerr << "FAILED " << kind << ": " << id << " at daemon-" << attempt.daemon << ", status " << attempt.status
                  << ", sent " << toSeconds(now - attempt.sent) << " s ago, " << attempt.runs << " runs, " << attempt.openRuns
                  << " open, " << (m_brokenOff.count(id) ? "closed at its backend server, " : "")
                  << (stopped == TimePoint() ? std::string("no stop")
                                             : std::to_string(toSeconds(now - stopped)) + " s after SIGTERM")
                  << "\n";
    }

    void fail(const std::string& what)
    {
        m_failed = true;
        std::cerr << "FAILED " << what << "\n";
    }

    int report()
    {
        std::cout << "actions " << m_actions << " callers " << m_callerCount << " requests " << m_attempts.size() << " answered";
        for (const auto& [status, count] : m_statuses)
            std::cout << " " << status << ":" << count;
        for (const auto& [kind, count] : m_cases)
            std::cout << ", " << kind << " " << count;
        std::cout << (m_failed ? " FAILED\n" : " ok\n");
        return m_failed ? 1 : 0;
    }

    std::string m_program;
    std::string m_folder;
    std::mt19937 m_random;
    size_t m_daemonCount;
    size_t m_callerCount; // Beside each daemon
    uint16_t m_basePort;
    StoreStandin m_store;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    std::map<std::string, Attempt> m_attempts;
    std::vector<Run> m_runs;
    std::set<std::string> m_brokenOff;
    std::map<uint16_t, size_t> m_statuses;
    std::map<std::string, size_t> m_cases;
    uint64_t m_version { 0 };
    uint64_t m_nextID { 0 };
    size_t m_actions { 0 };
    size_t m_reported { 0 };
    bool m_failed { false };
};

} // namespace
} // namespace shallot

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: shallot-stops PROGRAM SEED SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: write() reports a closed connection
    const char* keep = std::getenv("SHALLOT_SOAK_KEEP");
    char* folder = keep ? g_strdup(keep) : g_dir_make_tmp("shallot-stops-XXXXXX", nullptr);
    const auto seed = static_cast<unsigned>(std::strtoul(argv[2], nullptr, 10));
    std::cout << "seed " << seed << " " << std::flush;
    int status = 0;
    {
        shallot::PlannedStops stops(argv[1], seed, folder);
        status = stops.run(std::chrono::seconds(std::strtoul(argv[3], nullptr, 10)));
    }
    g_free(folder);
    return status;
}
