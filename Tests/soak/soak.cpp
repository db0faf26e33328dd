// Randomized soak: real shallot-sidecar processes under faults that signals and loopback proxies inject, against stand-ins of the
// store, the backend servers and the callers in this process. Checks the guarantees by what callers and backend servers observe.
//
//   shallot-soak PROGRAM SEED SECONDS
//
// Prints one line and exits with 0 if no check failed. With SHALLOT_SOAK_KEEP set the processes' logs are kept in that folder;
// with SHALLOT_SOAK_SAFETY_ONLY set the recovery after the last fault is not checked.

#include "FaultProxy.h"
#include "StoreStandin.h"
#include "TestPorts.h"
#include "core/JSON.h"
#include "core/Log.h"
#include "net/HTTPPool.h"
#include "platform/Names.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <glib.h>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t daemonCount = 6;
constexpr size_t zoneCount = 3;
constexpr uint16_t portsPerDaemon = 14;
constexpr auto requestInterval = 8ms;
constexpr auto faultInterval = 700ms;
constexpr auto maximumFaultDuration = 2500ms;
constexpr auto recoveryTime = 6s; // After the last fault; then all requests must be served again
constexpr auto keyWithdrawalLimit = 5s;
constexpr uint64_t startOfForeignRuns = 900'000'000; // Milliseconds since 1970; later than that of any run here
constexpr auto drainLimit = 2s;                      // From the acknowledgement of a drain to the last new request
constexpr auto maximumRunDuration = 60ms;
constexpr auto rateWindow = 5s;
constexpr double limitedRate = 20; // Requests a second of the organisation with key-3, which sends more; also its burst
constexpr double maximumRunsPerWindow = (limitedRate * 5 + limitedRate) * 1.1 + 20; // Runs of that organisation in any window

enum Port : uint16_t { Callers, Ready, Control, Peers, Backend, PeerProxy, BackendProxy, StoreProxy };

struct Attempt {
    bool idempotent { true };
    std::string key;
    TimePoint sent {};
    bool abandoned { false }; // Its caller disconnected, so no response is expected
    unsigned runs { 0 };
    uint16_t status { 0 }; // 0: no response yet, or the connection failed
};

class Soak {
public:
    Soak(std::string program, unsigned seed, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_random(seed)
        , m_basePort(nextBasePort())
        , m_store({ "127.0.0.1", m_basePort })
    {
        m_store.setRecordFilter([this](const std::string& topic, std::string value) {
            return topic == platform::store::memberTopic ? substituteProxyAddresses(std::move(value)) : value;
        });
        configure(1, R"(["key-1","key-2"])");
        for (size_t i = 0; i < daemonCount; ++i)
            m_daemons.push_back(makeDaemon(i));
    }

    ~Soak()
    {
        for (auto& daemon : m_daemons)
            terminate(*daemon, SIGKILL);
    }

    int run(Duration length)
    {
        const auto start = MonotonicClock::now();
        const auto faultsEnd = start + length;
        TimePoint nextFault = start + 2s;
        TimePoint nextRequest = start + 1500ms;
        TimePoint nextAnnouncement = start;
        while (MonotonicClock::now() < faultsEnd + recoveryTime) {
            const auto now = MonotonicClock::now();
            if (now >= nextRequest) {
                nextRequest = now + requestInterval;
                sendRequest();
            }
            if (now >= nextAnnouncement) {
                nextAnnouncement = now + 300ms;
                for (auto& daemon : m_daemons)
                    announce(*daemon);
            }
            if (now >= nextFault && now < faultsEnd - maximumFaultDuration) {
                nextFault = now + faultInterval;
                injectFault(now);
            }
            if (!m_keyWithdrawn && now > start + length / 2) {
                m_keyWithdrawn = true;
                configure(2, R"(["key-1"])");
                m_keyWithdrawnAt = MonotonicClock::now();
            }
            recover(now);
            respondDue(now);
            abandonDue(now);
            Timer wake;
            wake.startOnce(4ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
        return report();
    }

private:
    struct DaemonProcess {
        size_t index { 0 };
        pid_t pid { 0 };
        std::unique_ptr<StrictHTTPServer> backend;
        std::unique_ptr<FaultProxy> peerProxy;
        std::unique_ptr<FaultProxy> backendProxy;
        std::unique_ptr<FaultProxy> storeProxy;
        HTTPPool callers;
        HTTPPool control;
        uint64_t sequence { 0 };
        uint64_t backendStartedAt { 1000 }; // Of the current run; milliseconds since 1970
        bool draining { false };
        TimePoint drainAcknowledged {}; // TimePoint(): not yet
    };

    struct Run {
        TimePoint due {};
        RefPtr<StrictHTTPConnection> connection;
        std::string attempt;
    };

    struct ScheduledAbandon {
        TimePoint at {};
        HTTPPool* callers { nullptr };
        uint64_t exchange { 0 };
        std::string attempt;
    };

    struct ScheduledRecovery {
        TimePoint at {};
        std::function<void()> recover;
    };

    SocketAddress address(size_t daemon, uint16_t port) const
    {
        return { "127.0.0.1", static_cast<uint16_t>(m_basePort + 1 + daemon * portsPerDaemon + port) };
    }

    // Replaces a daemon's own address in a member record by its proxy's, so that peers connect through the proxy.
    std::string substituteProxyAddresses(std::string value) const
    {
        for (size_t i = 0; i < daemonCount; ++i) {
            const auto own = address(i, Peers).toString();
            if (const auto at = value.find(own + "\""); at != std::string::npos)
                value.replace(at, own.size(), address(i, PeerProxy).toString());
        }
        return value;
    }

    void configure(uint64_t version, const std::string& keys)
    {
        const auto route = [](const char* prefix, const char* kind) {
            return std::string(R"({"name":")") + kind + R"(","path_prefix":")" + prefix + R"(","kind":")" + kind
                + R"(","timeout_s":2,"target_latency_s":1,"priority":1,"service":"alpha","attempts":2,"anonymous":false})";
        };
        m_store.put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey),
            R"({"version":"r)" + std::to_string(version)
                + R"(","services":[{"name":"alpha","health_path":"/health","max_connections":100}],)"
                + R"("tenants":[{"name":"school","api_keys":)" + keys
                + R"(},{"name":"limited","api_keys":["key-3"],"rate_per_s":20,"burst":20}],"virtual_hosts":[{"host":"app","paths":[)"
                + route("/read/", "idempotent") + "," + route("/order/", "non_idempotent") + "]}]}");
    }

    std::unique_ptr<DaemonProcess> makeDaemon(size_t index)
    {
        auto daemon = std::make_unique<DaemonProcess>();
        daemon->index = index;
        daemon->peerProxy = std::make_unique<FaultProxy>(address(index, PeerProxy), address(index, Peers));
        daemon->backendProxy = std::make_unique<FaultProxy>(address(index, BackendProxy), address(index, Backend));
        daemon->storeProxy = std::make_unique<FaultProxy>(address(index, StoreProxy), SocketAddress { "127.0.0.1", m_basePort });
        daemon->callers.setAddress(address(index, Callers));
        daemon->control.setAddress(address(index, Control));
        daemon->backend = std::make_unique<StrictHTTPServer>();
        const auto started = daemon->backend->start(address(index, Backend), {},
            { [this, index](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 serve(index, connection, request);
             },
                nullptr });
        g_assert(started);
        writeSettings(index);
        start(*daemon);
        return daemon;
    }

    std::string settingsPath(size_t index) const { return m_folder + "/settings-" + std::to_string(index); }

    void writeSettings(size_t index) const
    {
        std::ofstream file(settingsPath(index));
        file << "node=daemon-" << index << "\nzone=zone-" << index % zoneCount << "\nservice=alpha\n"
             << "listen.outbound=" << address(index, Callers).toString() << "\nlisten.ready=" << address(index, Ready).toString()
             << "\nlisten.control=" << address(index, Control).toString() << "\napp=" << address(index, BackendProxy).toString()
             << "\ninternal_port_range=" << address(index, Peers).port << "," << address(index, Peers).port
             << "\nplatform.addr=" << address(index, StoreProxy).toString() << "\nheartbeat_s=0.3\nbounds.grace_s=4\n"
             << "bounds.revoke_s=" << toSeconds(keyWithdrawalLimit) << "\n";
    }

    void start(DaemonProcess& daemon)
    {
        daemon.pid = fork();
        if (daemon.pid)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // It would keep its ports
        setenv("SHALLOTTRACK_CONFIG", settingsPath(daemon.index).c_str(), 1);
        setenv("SHALLOT_PEER_SECRET", "a secret of the soak", 1);
        const auto log = m_folder + "/log-" + std::to_string(daemon.index);
        if (!std::freopen(log.c_str(), "a", stdout))
            _exit(126);
        execl(m_program.c_str(), m_program.c_str(), nullptr);
        _exit(127);
    }

    static void terminate(DaemonProcess& daemon, int signal)
    {
        if (!daemon.pid)
            return;
        kill(daemon.pid, signal);
        kill(daemon.pid, SIGCONT);
        waitpid(daemon.pid, nullptr, 0);
        daemon.pid = 0;
    }

    // Backend servers

    void serve(size_t index, const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
    {
        const auto now = MonotonicClock::now();
        const auto instance = "instance-" + std::to_string(index);
        if (request.target == "/health") {
            const HTTPHeaders headers { { std::string(platform::header::instance), instance },
                { std::string(platform::header::load), "0,0,20" } };
            const uint16_t status = m_daemons.size() > index && m_daemons[index]->draining ? 503 : 200;
            connection->respond({ status, headers, {} }, false, now);
            return;
        }
        const std::string id(findHeader(request.headers, platform::header::attemptID));
        if (findHeader(request.headers, platform::header::expectedInstance) != instance)
            fail("a request was meant for another backend server: " + id);
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end()) {
            fail("a backend server received a request that no caller sent: " + id);
            return;
        }
        auto& attempt = found->second;
        ++attempt.runs;
        if (!attempt.idempotent && attempt.runs > 1)
            fail("a non-idempotent request ran more than once: " + id);
        if (attempt.status == 503 || attempt.status == 429)
            fail("a request ran after its caller got 503 or 429: " + id);
        if (m_keyWithdrawn && attempt.key == "key-2" && attempt.sent > m_keyWithdrawnAt + keyWithdrawalLimit)
            fail("a request ran with a withdrawn key after the limit for withdrawal: " + id);
        checkDrain(*m_daemons[index], id, now);
        if (attempt.key == "key-3")
            countRateLimitedRun(now);
        for (const auto& [name, value] : request.headers) {
            if (value == attempt.key)
                fail("a backend server received an API key in request " + id);
        }
        m_runs.push_back({ now + randomUpTo(maximumRunDuration), connection, id });
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
            const HTTPHeaders headers { { std::string(platform::header::attemptID), run.attempt },
                { std::string(platform::header::seal), "seal" } };
            run.connection->respond({ 200, headers, "answer to " + run.attempt }, false, now);
        }
    }

    void checkDrain(const DaemonProcess& daemon, const std::string& id, TimePoint now)
    {
        if (daemon.draining && daemon.drainAcknowledged != TimePoint() && now > daemon.drainAcknowledged + drainLimit)
            fail("a draining backend server received a request after the drain limit: " + id);
    }

    void countRateLimitedRun(TimePoint now)
    {
        m_limitedRuns.push_back(now);
        std::erase_if(m_limitedRuns, [now](TimePoint at) { return now - at > rateWindow; });
        if (static_cast<double>(m_limitedRuns.size()) > maximumRunsPerWindow)
            fail("an organisation ran more requests in 5 s than its rate, its burst and the margin allow");
    }

    static std::string instanceOf(const DaemonProcess& daemon) { return "instance-" + std::to_string(daemon.index); }

    void announce(DaemonProcess& daemon)
    {
        const auto body
            = announcementBody(daemon, daemon.draining ? "draining" : "ready", daemon.backendStartedAt, ++daemon.sequence);
        daemon.control.send(m_nextID++,
            { "POST", std::string(platform::path::announce) + instanceOf(daemon), { { "Host", "c" } }, body },
            [&daemon, draining = daemon.draining](const Result<HTTPResponse>& response) {
                const bool acknowledged = draining && daemon.draining && response && response->status == 200;
                if (acknowledged && daemon.drainAcknowledged == TimePoint())
                    daemon.drainAcknowledged = MonotonicClock::now();
            });
    }

    // Another writer names a backend server that does not run there.
    void announceForeign(DaemonProcess& daemon)
    {
        const auto body = announcementBody(daemon, "ready", startOfForeignRuns, ++m_foreignSequence);
        daemon.control.send(m_nextID++, { "POST", std::string(platform::path::announce) + "foreign", { { "Host", "c" } }, body },
            [](const Result<HTTPResponse>&) {});
    }

    std::string announcementBody(const DaemonProcess& daemon, const char* state, uint64_t startedAt, uint64_t sequence) const
    {
        return R"({"service":"alpha","addr":")" + address(daemon.index, BackendProxy).toString()
            + R"(","zone":"z","version":"v1","slots":20,"cold_left_s":0,"born":)" + std::to_string(startedAt) + R"(,"state":")"
            + state + R"(","seq":)" + std::to_string(sequence) + "}";
    }

    // Callers

    void sendRequest()
    {
        auto& daemon = *m_daemons[m_random() % daemonCount];
        const std::string id = "attempt-" + std::to_string(m_nextID);
        auto& attempt = m_attempts[id];
        attempt.idempotent = m_random() % 3 != 0;
        constexpr std::array<const char*, 4> keys { "key-1", "key-1", "key-2", "key-3" };
        attempt.key = keys[m_random() % keys.size()];
        attempt.sent = MonotonicClock::now();
        const HTTPRequest request { attempt.idempotent ? "GET" : "POST", attempt.idempotent ? "/read/" : "/order/",
            { { "Host", "app" }, { std::string(platform::header::attemptID), id },
                { std::string(platform::header::key), attempt.key }, { std::string(platform::header::deadline), "3000" } },
            {} };
        if (m_random() % 16 == 0)
            m_abandons.push_back({ attempt.sent + randomUpTo(maximumRunDuration), &daemon.callers, m_nextID, id });
        daemon.callers.send(m_nextID++, request, [this, id](const Result<HTTPResponse>& response) {
            auto& attempt = m_attempts[id];
            attempt.status = response ? response->status : 0;
            const bool success = attempt.status >= 200 && attempt.status < 300;
            if (success && response->body != "answer to " + id)
                fail("a caller got an unexpected response body: " + id);
            if (success && !attempt.runs)
                fail("a caller got a success for a request that did not run: " + id);
            if ((attempt.status == 503 || attempt.status == 429) && attempt.runs)
                fail("a caller got 503 or 429 for a request that ran: " + id);
        });
    }

    void abandonDue(TimePoint now)
    {
        for (size_t i = 0; i < m_abandons.size();) {
            if (m_abandons[i].at > now) {
                ++i;
                continue;
            }
            const auto scheduled = m_abandons[i];
            m_abandons.erase(m_abandons.begin() + static_cast<ptrdiff_t>(i));
            auto& attempt = m_attempts[scheduled.attempt];
            if (attempt.status)
                continue;
            attempt.abandoned = true;
            scheduled.callers->abandon(scheduled.exchange);
        }
    }

    Duration randomUpTo(Duration maximum)
    {
        return Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>(maximum.count())));
    }

    // Faults

    void injectFault(TimePoint now)
    {
        auto& daemon = *m_daemons[m_random() % daemonCount];
        const auto until
            = now + Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>(Duration(maximumFaultDuration).count())));
        const auto fault = static_cast<FaultProxy::Fault>(1 + m_random() % 4);
        const auto injectProxyFault = [&](FaultProxy& proxy) {
            proxy.setFault(fault);
            m_recoveries.push_back({ until, [&proxy] { proxy.setFault(FaultProxy::Fault::None); } });
        };
        ++m_faults;
        switch (m_random() % 9) {
        case 0:
            injectProxyFault(*daemon.peerProxy);
            break;
        case 1:
            injectProxyFault(*daemon.backendProxy);
            break;
        case 2:
            injectProxyFault(*daemon.storeProxy);
            break;
        case 3:
            m_store.setMode(m_random() % 2 ? StoreStandin::Mode::Refusing : StoreStandin::Mode::Unresponsive);
            m_recoveries.push_back({ until, [this] { m_store.setMode(StoreStandin::Mode::Serving); } });
            break;
        case 4:
            if (daemon.pid) {
                kill(daemon.pid, SIGSTOP);
                m_recoveries.push_back({ until, [&daemon] {
                                            if (daemon.pid)
                                                kill(daemon.pid, SIGCONT);
                                        } });
            }
            break;
        case 5:
            terminate(daemon, SIGKILL);
            m_recoveries.push_back({ until, [this, &daemon] {
                                        if (!daemon.pid)
                                            start(daemon);
                                    } });
            break;
        case 6:
            if (daemon.pid)
                kill(daemon.pid, SIGTERM);
            break;
        case 7:
            daemon.draining = true;
            m_recoveries.push_back({ until + drainLimit, [&daemon] {
                                        // The next run, under the same name
                                        daemon.backendStartedAt += 1000;
                                        daemon.sequence = 0;
                                        daemon.draining = false;
                                        daemon.drainAcknowledged = {};
                                    } });
            break;
        case 8:
            announceForeign(daemon);
            break;
        }
    }

    void recover(TimePoint now)
    {
        for (size_t i = 0; i < m_recoveries.size();) {
            if (m_recoveries[i].at > now) {
                ++i;
                continue;
            }
            const auto recovery = std::move(m_recoveries[i].recover);
            m_recoveries.erase(m_recoveries.begin() + static_cast<ptrdiff_t>(i));
            recovery();
        }
        for (auto& daemon : m_daemons) {
            int status = 0;
            if (!daemon->pid || waitpid(daemon->pid, &status, WNOHANG) <= 0)
                continue;
            // A daemon that left after SIGTERM or exited by itself is started again.
            if (!WIFEXITED(status) || WEXITSTATUS(status))
                fail("daemon-" + std::to_string(daemon->index) + " exited by itself, wait status " + std::to_string(status));
            start(*daemon);
        }
    }

    // Result

    void fail(const std::string& what)
    {
        if (m_failures.insert(what).second)
            std::cerr << "FAILED " << what << "\n";
    }

    int report()
    {
        std::map<uint16_t, size_t> statuses;
        size_t recentRequests = 0;
        size_t recentServed = 0;
        const auto now = MonotonicClock::now();
        for (const auto& [id, attempt] : m_attempts) {
            ++statuses[attempt.status];
            if (attempt.key != "key-1" || attempt.abandoned || now - attempt.sent > 2s || now - attempt.sent < 500ms)
                continue;
            ++recentRequests;
            recentServed += attempt.status == 200 ? 1 : 0;
        }
        // Skipped where a slow instance must not fail the run.
        if (recentServed < recentRequests && !std::getenv("SHALLOT_SOAK_SAFETY_ONLY"))
            fail("not all requests were served after the last fault: " + std::to_string(recentServed) + " of "
                + std::to_string(recentRequests));
        std::cout << "faults " << m_faults << " requests " << m_attempts.size() << " answered";
        for (const auto& [status, count] : statuses)
            std::cout << " " << status << ":" << count;
        std::cout << " failures " << m_failures.size() << "\n";
        return m_failures.empty() ? 0 : 1;
    }

    std::string m_program;
    std::string m_folder;
    std::mt19937 m_random;
    uint16_t m_basePort;
    StoreStandin m_store;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    std::map<std::string, Attempt> m_attempts;
    std::vector<ScheduledRecovery> m_recoveries;
    std::vector<Run> m_runs;
    std::vector<ScheduledAbandon> m_abandons;
    std::deque<TimePoint> m_limitedRuns; // Within the window
    std::set<std::string> m_failures;
    TimePoint m_keyWithdrawnAt {};
    uint64_t m_nextID { 1 };
    uint64_t m_foreignSequence { 0 };
    size_t m_faults { 0 };
    bool m_keyWithdrawn { false };
};

} // namespace
} // namespace shallot

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: shallot-soak PROGRAM SEED SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: write() reports a closed connection
    const char* keep = std::getenv("SHALLOT_SOAK_KEEP");
    char* folder = keep ? g_strdup(keep) : g_dir_make_tmp("shallot-soak-XXXXXX", nullptr);
    const auto seed = static_cast<unsigned>(std::strtoul(argv[2], nullptr, 10));
    std::cout << "seed " << seed << " " << std::flush;
    int status = 0;
    {
        shallot::Soak soak(argv[1], seed, folder);
        status = soak.run(std::chrono::seconds(std::strtoul(argv[3], nullptr, 10)));
    }
    g_free(folder);
    return status;
}
