// Planned work on real shallot-sidecar processes: stops, also right after a start, reloads with other settings and configuration
// changes in series that overlap, under callers that keep their connections, pipeline requests, send large or slow bodies and
// parts of header sections, or finish sending before they read; backend servers make nested calls. Checks that no request that a
// daemon has read ends without an answer, that no run is broken off, that no connection ends without a stop, and that a daemon
// has ended when its shutdown time is over.
//
//   shallot-stops PROGRAM SEED SECONDS
//
// Index of this file
//   Processes:       configure, makeDaemon, writeSettings, start, reap, killLate, recordEnd, stall, probeReadiness
//   Planned work:    act, reload, stopOne, stopAnother, requestStop, requestReload
//   Backend servers: serve, startNested, giveUp, respondDue, breakOff, announce
//   Callers:         sendDue, sendBatch, sendParts, onAnswer, onEnd
//   Judgement:       endedRequest, judgeAnswer, countTimeout, judgeEnd, isAllowed, settle (the rule itself: LostRule.h)
//   Cells:           countCells, stopAt, whereIs (which of them there are: CellCount.h)
//   Result:          reportCase, report
//
// Prints one line and exits with 0 if no check failed. SHALLOT_STOPS_DAEMONS and SHALLOT_STOPS_CALLERS set the numbers of daemons
// and of callers beside each one; with SHALLOT_SOAK_KEEP set the processes' logs are kept in that folder.
// SHALLOT_STOPS_STALL_MS=n stops one process at a time for n ms by SIGSTOP; SHALLOT_STOPS_ACTIONS=0 leaves out the planned work.
// SHALLOT_STOPS_SHAPES=names adds, of these: "nested", runs that make many calls to another service, and long runs; "drops", runs
// that give up before their calls have ended; "returns", callers that give up and come back at once, and ones that stop reading
// in a large answer; "pairs", stops one shortly after the other. SHALLOT_STOPS_CELLS=1 names the cells that no request met.

#include "CellCount.h"
#include "KeptConnection.h"
#include "LostRule.h"
#include "NestedCalls.h"
#include "ProcessStalls.h"
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
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t zoneCount = 3;
constexpr uint16_t portsPerDaemon = 5;
constexpr size_t daemonsPerFleet = (portsPerFleet - 2) / portsPerDaemon; // The first port is the store's, the last one a lock
constexpr std::array<Duration, 4> shutdownTimes { 3000ms, 4500ms, 6000ms, 8000ms };
constexpr auto actionInterval = 500ms; // Mean time between two stops, reloads or changes
constexpr auto settlingTime = 1500ms;  // After the start, before the first request
constexpr auto restartDelay = 400ms;   // At most
constexpr auto closeDelay = 20ms;      // Until the callers have seen that the connections of an ended process are closed
constexpr auto probeInterval = 1s;     // Of the readiness probes
constexpr unsigned probesUntilOut = 2; // Unanswered in a row; then callers start no connections
constexpr auto latestReady = 2s;       // After SIGTERM; two probes later, at 4 s, the daemon must count as out
constexpr auto shortestLimit = 8s;     // Of the routes
constexpr auto longestLimit = 9s;
constexpr auto longestPause = 1600ms; // Of callers and of connections for nested calls; four fifths of the shortest idle time-out
constexpr auto longestPart = 1s;      // Until the rest of a header section; below the shortest header time-out
constexpr size_t largeBodyBytes = 60'000;
constexpr size_t chunkBytes = 700;
constexpr size_t maximumReportedCases = 12;
constexpr Duration longestNestedRun = 20ms; // Of most calls of a run that makes many
constexpr Duration longestRun = 5s;         // Beside runs that make many calls; reaches into the last sixth of a stop
constexpr unsigned runsPerLong = 20;        // Of these, one takes up to so long
constexpr unsigned runsPerLargeAnswer
    = 100; // Of these, one answers with more than the kernel holds for a caller that doesn't read
constexpr size_t largeAnswerBytes = 2'000'000;
constexpr unsigned batchesPerPause = 4; // Of these, in one the caller stops reading when a part of an answer has come
constexpr Duration longestReadingPause = 1500ms;
constexpr Duration longestBetweenStops = 3s; // Of a pair
constexpr unsigned waitsPerReturn = 12;      // Turns of a caller that waits, for each one that gives up
constexpr Duration deadlineStep = 2ms;       // The header's milliseconds are cut off, and the run's clock is read later
constexpr Duration readTime = 20ms;          // In which a daemon that has room passes a request on
constexpr Duration reloadTime = 6s;          // Until a reload or a configuration is an old one; stands for a shutdown time
constexpr unsigned runsPerDeaf = 4;          // Of these, one works on past the deadline that it was given

enum Port : uint16_t { Callers, Ready, Control, Peers, Backend };

size_t numberFromEnvironment(const char* name, size_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoul(text, nullptr, 10) : fallback;
}

bool hasShape(const char* name)
{
    const char* shapes = std::getenv("SHALLOT_STOPS_SHAPES");
    return shapes && std::string(shapes).find(name) != std::string::npos;
}

class PlannedStops {
public:
    PlannedStops(std::string program, unsigned seed, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_random(seed)
        , m_shapeRandom(seed)
        , m_deafRandom(seed)
        , m_stalls(seed, std::chrono::milliseconds(numberFromEnvironment("SHALLOT_STOPS_STALL_MS", 0)))
        , m_acts(numberFromEnvironment("SHALLOT_STOPS_ACTIONS", 1))
        , m_daemonCount(numberFromEnvironment("SHALLOT_STOPS_DAEMONS", 9))
        , m_callerCount(numberFromEnvironment("SHALLOT_STOPS_CALLERS", 4 + m_random() % 12))
        , m_basePorts(firstPorts(m_daemonCount))
        , m_store({ "127.0.0.1", m_basePorts.front() })
        , m_nested({ seed, m_makesMany, hasShape("drops") }, longestPause,
              {
                  [this](size_t daemon) { return connect(*m_daemons[daemon]); },
                  [this](const std::string& id, size_t daemon, TimePoint deadline) { startNested(id, daemon, deadline); },
                  [this](const std::string& id) { refuseNested(id); },
                  [this](const std::string& id) { giveUp(id); },
                  [this](const std::string& run) { endNested(run); },
              })
    {
        configure();
        for (size_t i = 0; i < m_daemonCount; ++i)
            m_daemons.push_back(makeDaemon(i));
    }

    ~PlannedStops()
    {
        m_nested.clear();
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
        const auto end = actionsEnd + shutdownTimes.back();
        TimePoint nextAction = start + 2 * settlingTime;
        TimePoint nextAnnouncement = start;
        auto lastTurn = start;
        for (auto now = start; now < end; now = MonotonicClock::now()) {
            m_longestTurn = std::max(m_longestTurn, now - std::exchange(lastTurn, now));
            if (now >= nextAnnouncement) {
                nextAnnouncement = now + 300ms;
                for (auto& daemon : m_daemons)
                    announce(*daemon);
            }
            if (m_acts && now >= nextAction && now < actionsEnd) {
                nextAction = now + randomUpTo(2 * actionInterval);
                act();
            }
            if (now >= m_nextOfPair)
                stopAnother();
            reap(now);
            if (now >= start + 2 * settlingTime)
                stall(now, actionsEnd);
            probeReadiness(now);
            m_nested.update(now);
            respondDue(now);
            countCells(now);
            if (now > start + settlingTime && now < end - 1s)
                sendDue(now);
            Timer wake;
            wake.startOnce(2ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
        m_longestTurn = std::max(m_longestTurn, MonotonicClock::now() - lastTurn);
        return report();
    }

private:
    struct Attempt {
        size_t daemon { 0 };
        size_t backend { 0 };                    // The last one that ran it
        TimePoint firstSent {};                  // Its first byte
        TimePoint sent {};                       // Its last byte; TimePoint(): not yet
        TimePoint deadline { TimePoint::max() }; // That it names
        TimePoint runEnded {};                   // The last run
        TimePoint answered {};
        std::string behind; // The request before it on its connection, if that was not answered when it was sent
        size_t bodyBytes { 0 };
        size_t answerBytes { 0 }; // Behind its beginning
        const char* delivery { "" };
        bool changing { false }; // Its route comes and goes
        unsigned runs { 0 };
        unsigned openRuns { 0 };
        std::set<uint16_t> given; // By its backend servers
        uint16_t status { 0 };    // 0: none yet
        bool hasEnded { false };  // Answered, or its connection ended
        bool idempotent { true };
        bool isPartlyAnswered { false };
        bool isLong { false }; // No request is sent behind its run
        cells::Maker maker { cells::Maker::Caller };
        cells::Client client { cells::Client::Kept };
    };

    struct Caller {
        std::unique_ptr<KeptConnection> connection;
        TimePoint nextBatch {};
        std::deque<std::string> parts; // Of a request that is sent slowly
        std::string partsID;
        TimePoint nextPart {};
        Duration partInterval {};
        bool isBack { false }; // It has just given up
    };

    struct DaemonProcess {
        size_t index { 0 };
        pid_t pid { 0 };
        TimePoint stopRequested {}; // TimePoint(): it is not leaving
        TimePoint startAt {};       // While it is not running
        Duration shutdownTime {};   // In its settings file
        Duration timeToStop {};     // The shutdown time of the stop
        lost::PlannedWork work;     // Of this run and of those before
        int signalAtStart { 0 };    // Sent as soon as it listens; 0: none
        bool isReady { false };     // It has been, in this run
        bool isKilled { false };    // After a stall in the last sixth of its shutdown time
        unsigned unansweredProbes { probesUntilOut };
        TimePoint nextProbe {};
        uint64_t openProbe { 0 }; // 0: none
        std::unique_ptr<StrictHTTPServer> backend;
        HTTPPool control;
        HTTPPool probes;
        std::vector<Caller> connections;
        uint64_t sequence { 0 };
    };

    struct Run {
        TimePoint due {};                        // TimePoint::max(): waits for a nested call
        TimePoint deadline { TimePoint::max() }; // At which it answers 504; max(): it is deaf to the one that it was given
        RefPtr<StrictHTTPConnection> connection;
        std::string attempt;
        std::string name; // Of its attempt, with its number
    };

    SocketAddress address(size_t daemon, uint16_t port) const
    {
        const auto base = m_basePorts[daemon / daemonsPerFleet];
        return { "127.0.0.1", static_cast<uint16_t>(base + 1 + daemon % daemonsPerFleet * portsPerDaemon + port) };
    }

    static std::vector<uint16_t> firstPorts(size_t daemonCount)
    {
        std::vector<uint16_t> ports;
        for (size_t i = 0; i < daemonCount; i += daemonsPerFleet)
            ports.push_back(nextBasePort());
        return ports;
    }

    Duration randomUpTo(Duration maximum)
    {
        return Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>(maximum.count())));
    }

    // Processes

    // Each version changes time limits and limits of callers, which all requests stay within, and may add or remove one route.
    void configure()
    {
        const auto route
            = [this](const char* prefix, const char* kind, const char* open = "false", const char* service = "alpha") {
                  return std::string(R"({"name":")") + prefix + R"(","path_prefix":")" + prefix + R"(","kind":")" + kind
                      + R"(","timeout_s":)" + (m_version % 2 ? "8" : "9") + R"(,"target_latency_s":2,"priority":1,"service":")"
                      + service + R"(","attempts":2,"anonymous":)" + open + "}";
              };
        const auto choose = [this](const char* one, const char* other) { return m_random() % 2 ? one : other; };
        // Acknowledgements are not read: the soak takes a version for acknowledged as soon as it is sent.
        const auto now = MonotonicClock::now();
        m_configurations.push_back({ now, now });
        if (std::exchange(m_hasChangingRoute, m_random() % 2 == 0) != m_hasChangingRoute)
            m_routeChanged = now;
        m_store.put(std::string(platform::store::operatorTopic), std::string(platform::store::configurationKey),
            R"({"version":"r)" + std::to_string(++m_version)
                + R"(","services":[{"name":"alpha","health_path":"/health","max_connections":100})"
                + (m_makesMany ? R"(,{"name":"beta","health_path":"/health","max_connections":100}],)" : "],")
                + R"("tenants":[{"name":"school","api_keys":["key-1"]}],"limits":{"max_header_bytes":)" + choose("2048", "65536")
                + R"(,"max_body_bytes":)" + choose("65536", "4000000") + R"(,"header_timeout_s":)" + choose("2", "5")
                + R"(,"idle_timeout_s":)" + choose("2", "15") + R"(},"virtual_hosts":[{"host":"app","paths":[)"
                + route("/read/", "idempotent") + "," + route("/order/", "non_idempotent") + ","
                + route("/inner/", "idempotent", "true", m_makesMany ? "beta" : "alpha")
                + (m_hasChangingRoute ? "," + route("/changing/", "idempotent") : "") + "]}]}");
    }

    std::unique_ptr<DaemonProcess> makeDaemon(size_t index)
    {
        auto daemon = std::make_unique<DaemonProcess>();
        daemon->index = index;
        daemon->control.setAddress(address(index, Control));
        daemon->probes.setAddress(address(index, Ready));
        daemon->connections.resize(m_callerCount);
        daemon->backend = std::make_unique<StrictHTTPServer>();
        const auto started = daemon->backend->start(address(index, Backend), {},
            { [this, index](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 serve(index, connection, request);
             },
                [this](StrictHTTPConnection& connection) { breakOff(connection); } });
        g_assert(started);
        writeSettings(*daemon);
        start(*daemon);
        return daemon;
    }

    void writeSettings(DaemonProcess& daemon)
    {
        const auto index = daemon.index;
        const auto path = settingsPath(index);
        daemon.shutdownTime = shutdownTimes[m_random() % shutdownTimes.size()];
        std::ofstream(path + ".new") << "node=daemon-" << index << "\nzone=zone-" << index % zoneCount
                                     << "\nservice=" << serviceOf(index) << "\n"
                                     << "listen.outbound=" << address(index, Callers).toString()
                                     << "\nlisten.ready=" << address(index, Ready).toString()
                                     << "\nlisten.control=" << address(index, Control).toString()
                                     << "\napp=" << address(index, Backend).toString()
                                     << "\ninternal_port_range=" << address(index, Peers).port << ","
                                     << address(index, Peers).port << "\nplatform.addr=127.0.0.1:" << m_basePorts.front()
                                     << "\nheartbeat_s=0.3\nbounds.grace_s=" << toSeconds(daemon.shutdownTime)
                                     << "\nbounds.revoke_s=5\n";
        std::rename((path + ".new").c_str(), path.c_str());
    }

    std::string settingsPath(size_t index) const { return m_folder + "/settings-" + std::to_string(index); }

    // The called service has every second backend server.
    const char* serviceOf(size_t index) const { return m_makesMany && index % 2 ? "beta" : "alpha"; }

    void start(DaemonProcess& daemon)
    {
        if (daemon.stopRequested != TimePoint())
            daemon.work.stops.back().nextStart = MonotonicClock::now();
        daemon.stopRequested = {};
        daemon.isReady = daemon.isKilled = false;
        const auto kind = m_random() % 10;
        daemon.signalAtStart = m_attempts.empty() || kind > 4 ? 0 : kind ? SIGHUP : SIGTERM;
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

    void reap(TimePoint now)
    {
        for (auto& daemon : m_daemons) {
            const bool isLeaving = daemon->stopRequested != TimePoint();
            if (daemon->pid && isLeaving && !daemon->isKilled && now >= daemon->stopRequested + daemon->timeToStop)
                killLate(*daemon, now);
            int status = 0;
            if (daemon->pid && waitpid(daemon->pid, &status, WNOHANG) > 0) {
                recordEnd(*daemon, now);
                if (!daemon->isKilled && (!WIFEXITED(status) || WEXITSTATUS(status) || !isLeaving))
                    fail("daemon-" + std::to_string(daemon->index) + " exited, wait status " + std::to_string(status));
                daemon->pid = 0;
                daemon->startAt = now + closeDelay + randomUpTo(restartDelay);
            }
            if (!daemon->pid && now >= daemon->startAt)
                start(*daemon);
            // The peers' listener is the first one.
            if (daemon->signalAtStart && KeptConnection(address(daemon->index, Peers), {}).isOpen()) {
                if (std::exchange(daemon->signalAtStart, 0) == SIGTERM)
                    requestStop(*daemon);
                else
                    requestReload(*daemon);
            }
        }
    }

    // A stall that reaches into the last sixth may leave the process too little time; any other one may not.
    void killLate(DaemonProcess& daemon, TimePoint now)
    {
        kill(daemon.pid, SIGKILL);
        const auto name = "daemon-" + std::to_string(daemon.index);
        const auto lastSixth = daemon.stopRequested + daemon.timeToStop * 5 / 6;
        daemon.isKilled = m_stalls.stalledFor(daemon.index, lastSixth, now) > Duration::zero();
        if (daemon.isKilled) {
            ++m_cases["killed after a stall"];
            return;
        }
        fail(name + " was still running when its shutdown time was over");
        daemon.timeToStop = 1h;
    }

    // Of a process that stood still while it left: the time that it had left, and the stall's share of the last sixth.
    void recordEnd(const DaemonProcess& daemon, TimePoint now) const
    {
        const auto end = daemon.stopRequested + daemon.shutdownTime;
        const auto stalled = m_stalls.stalledFor(daemon.index, daemon.stopRequested, now);
        if (daemon.stopRequested == TimePoint() || stalled == Duration::zero())
            return;
        std::cerr << (daemon.isKilled ? "killed" : "ended") << " after a stall: daemon-" << daemon.index << ", shutdown time "
                  << toSeconds(daemon.shutdownTime) << " s, left " << toSeconds(end - now) << " s, stood still "
                  << toSeconds(stalled) << " s, "
                  << toSeconds(m_stalls.stalledFor(daemon.index, end - daemon.shutdownTime / 6, now))
                  << " s of it in the last sixth\n";
    }

    void stall(TimePoint now, TimePoint end)
    {
        std::vector<pid_t> processes;
        for (const auto& daemon : m_daemons)
            processes.push_back(daemon->pid);
        m_stalls.update(processes, now, end);
    }

    void probeReadiness(TimePoint now)
    {
        for (auto& daemon : m_daemons) {
            if (now < daemon->nextProbe)
                continue;
            daemon->nextProbe = now + probeInterval;
            if (const auto open = std::exchange(daemon->openProbe, ++m_nextID)) {
                daemon->probes.abandon(open);
                ++daemon->unansweredProbes;
            }
            const auto id = daemon->openProbe;
            daemon->probes.send(id, { "GET", std::string(platform::path::readiness), { { "Host", "r" } }, {} },
                [this, &daemon = *daemon, now, id](const Result<HTTPResponse>& response) {
                    if (daemon.openProbe == id)
                        daemon.openProbe = 0;
                    const bool isReady = response && response->status == 200;
                    daemon.unansweredProbes = isReady ? 0 : daemon.unansweredProbes + 1;
                    daemon.isReady |= isReady;
                    const auto stalled = m_stalls.stalledFor(daemon.index, daemon.stopRequested, MonotonicClock::now());
                    if (isReady && daemon.stopRequested != TimePoint() && now > daemon.stopRequested + latestReady + stalled)
                        fail("daemon-" + std::to_string(daemon.index) + " is leaving and says that it is ready");
                });
        }
    }

    // Planned work

    void act()
    {
        ++m_actions;
        switch (m_random() % 8) {
        case 0:
        case 1:
        case 2:
            stopOne(*m_daemons[m_random() % m_daemonCount]);
            break;
        case 3:
        case 4:
            for (auto i = m_random() % 5; i-- > 0;) {
                auto& daemon = *m_daemons[m_random() % m_daemonCount];
                if (daemon.pid && !daemon.signalAtStart)
                    requestReload(daemon);
            }
            break;
        case 5:
            reload(*m_daemons[m_random() % m_daemonCount]);
            break;
        case 6:
        case 7:
            configure();
            break;
        }
    }

    // The settings of a process that leaves stay as they are.
    void reload(DaemonProcess& daemon)
    {
        if (!daemon.pid || daemon.signalAtStart || daemon.stopRequested != TimePoint())
            return;
        writeSettings(daemon);
        if (m_random() % 2)
            requestReload(daemon);
        if (m_random() % 2)
            stopOne(daemon);
    }

    // At most a third of the daemons leave at the same time. One that leaves may get the signal again.
    void stopOne(DaemonProcess& daemon)
    {
        const auto leaving = static_cast<size_t>(std::count_if(
            m_daemons.begin(), m_daemons.end(), [](const auto& other) { return other->stopRequested != TimePoint(); }));
        if (!daemon.pid || daemon.signalAtStart || (daemon.stopRequested == TimePoint() && leaving >= m_daemonCount / 3))
            return;
        requestStop(daemon);
        if (m_random() % 4 == 0)
            requestStop(daemon);
        m_firstOfPair = daemon.index;
        if (m_stopsPairs)
            m_nextOfPair = MonotonicClock::now() + Duration(static_cast<int64_t>(m_shapeRandom() % longestBetweenStops.count()));
    }

    // Half of the times one that runs a request which the first one has taken.
    void stopAnother()
    {
        m_nextOfPair = TimePoint::max();
        auto index = m_shapeRandom() % m_daemonCount;
        if (m_shapeRandom() % 2) {
            for (const auto& id : m_open) {
                const auto& attempt = m_attempts[id];
                if (attempt.daemon == m_firstOfPair && attempt.openRuns && attempt.backend != m_firstOfPair)
                    index = attempt.backend;
            }
        }
        auto& daemon = *m_daemons[index];
        if (daemon.pid && !daemon.signalAtStart && daemon.stopRequested == TimePoint())
            requestStop(daemon);
    }

    void requestStop(DaemonProcess& daemon)
    {
        if (daemon.stopRequested == TimePoint()) {
            daemon.stopRequested = MonotonicClock::now();
            daemon.timeToStop = daemon.shutdownTime;
            daemon.work.stops.push_back({ daemon.stopRequested, daemon.timeToStop });
        } else {
            daemon.work.stops.back().isSentAgain = true;
        }
        kill(daemon.pid, SIGTERM);
    }

    static void requestReload(DaemonProcess& daemon)
    {
        daemon.work.reloads.push_back(MonotonicClock::now());
        kill(daemon.pid, SIGHUP);
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
        attempt.backend = index;
        if (request.body != std::string(attempt.bodyBytes, 'b'))
            fail("a backend server received another body than the caller's: " + id);
        if (++attempt.runs > 1 && !attempt.idempotent)
            fail("a non-idempotent request ran more than once: " + id);
        if (attempt.status == 503 || attempt.status == 429)
            fail("a request ran after its caller got 503 or 429: " + id);
        const auto kind = m_random() % 20;
        const bool isNested = id.find('.') != std::string::npos;
        if (m_returns && !isNested && attempt.runs == 1 && m_shapeRandom() % runsPerLargeAnswer == 0)
            attempt.answerBytes = largeAnswerBytes;
        const Duration usual = isNested && m_makesMany ? longestNestedRun : Duration(60ms);
        const Duration longest = kind == 0 ? Duration(2500ms) : kind < 4 && !(isNested && m_makesMany) ? Duration(600ms) : usual;
        const bool callsOthers = !isNested && m_random() % 5 == 0;
        const auto run = id + "." + std::to_string(attempt.runs);
        const std::string named(findHeader(request.headers, platform::header::deadline));
        const auto milliseconds = static_cast<unsigned>(std::strtoul(named.c_str(), nullptr, 10));
        const bool isDeaf = named.empty() || m_deafRandom() % runsPerDeaf == 0;
        attempt.isLong |= m_makesMany && !isNested && attempt.behind.empty() && m_shapeRandom() % runsPerLong == 0;
        m_runs.push_back({ callsOthers ? TimePoint::max() : now + randomUpTo(attempt.isLong ? longestRun : longest),
            isDeaf ? TimePoint::max() : now + std::chrono::milliseconds(milliseconds), connection, id, run });
        if (callsOthers)
            m_nested.start(run, index, milliseconds);
    }

    void startNested(const std::string& id, size_t daemon, TimePoint deadline)
    {
        auto& attempt = m_attempts[id];
        attempt.daemon = daemon;
        attempt.delivery = "nested";
        attempt.firstSent = attempt.sent = MonotonicClock::now();
        attempt.deadline = deadline;
        const bool isOwn = m_attempts[id.substr(0, id.find('.'))].daemon == daemon;
        attempt.maker = isOwn ? cells::Maker::OwnRun : cells::Maker::OtherRun;
        m_open.insert(id);
    }

    void refuseNested(const std::string& id)
    {
        m_attempts[id].hasEnded = true;
        // Since this run was broken off, its attempt may have run elsewhere.
        const auto& parent = m_attempts[id.substr(0, id.find('.'))];
        const auto request = endedRequest(parent, lost::AnswerOf::Nobody);
        const auto judgement = lost::judge(request, m_daemons[parent.daemon]->work, m_configurations);
        if (!isAllowed(parent, judgement) && !lost::isLateInStop(request, m_daemons[m_attempts[id].daemon]->work.stops))
            reportCase("nested call of a run refused", id);
    }

    void endNested(const std::string& name)
    {
        for (auto& run : m_runs) {
            if (run.name == name)
                run.due = MonotonicClock::now();
        }
    }

    // Its sender has closed the connection.
    void giveUp(const std::string& id)
    {
        auto& attempt = m_attempts[id];
        attempt.hasEnded = true;
        attempt.client = cells::Client::Gone;
        countCells(attempt, MonotonicClock::now());
        ++m_givenUp;
    }

    // Whatever its status; a daemon's own answers have another body.
    std::string answerTo(const std::string& id) { return "answer to " + id + std::string(m_attempts[id].answerBytes, 'a'); }

    void respondDue(TimePoint now)
    {
        for (size_t i = 0; i < m_runs.size();) {
            if (std::min(m_runs[i].due, m_runs[i].deadline) > now) {
                ++i;
                continue;
            }
            const auto run = m_runs[i];
            m_runs.erase(m_runs.begin() + static_cast<ptrdiff_t>(i));
            --m_attempts[run.attempt].openRuns;
            m_attempts[run.attempt].runEnded = now;
            const HTTPHeaders headers { { std::string(platform::header::attemptID), run.attempt },
                { std::string(platform::header::seal), "seal" } };
            const uint16_t status = now >= run.deadline ? 504 : 200;
            m_attempts[run.attempt].given.insert(status);
            run.connection->respond({ status, headers, answerTo(run.attempt) }, false, now);
        }
    }

    // The daemon closed the connection of a run that was in progress.
    void breakOff(const StrictHTTPConnection& connection)
    {
        for (auto& run : m_runs) {
            if (run.connection.get() == &connection)
                m_brokenOff.insert(run.attempt);
            if (run.connection.get() != &connection || run.due != TimePoint::max() || !hasShape("drops"))
                continue;
            m_nested.drop(run.name);
            run.due = MonotonicClock::now() + closeDelay;
        }
    }

    void announce(DaemonProcess& daemon)
    {
        const auto body = R"({"service":")" + std::string(serviceOf(daemon.index)) + R"(","addr":")"
            + address(daemon.index, Backend).toString() + R"(","zone":"z","version":"v1","slots":)" + (m_makesMany ? "24" : "8")
            + R"(,"cold_left_s":0,"born":1000,"state":"ready","seq":)" + std::to_string(++daemon.sequence) + "}";
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
                if (caller.connection && caller.connection->hasPartOfAnswer())
                    m_attempts[caller.connection->pendingIDs().front()].isPartlyAnswered = true;
                if (!caller.parts.empty())
                    sendParts(caller, now);
                if (now < caller.nextBatch || !caller.parts.empty())
                    continue;
                caller.nextBatch = now + randomUpTo(m_random() % 16 ? Duration(60ms) : longestPause);
                // Some send on while they wait, so that requests arrive at any moment of a close.
                if (caller.connection && caller.connection->pending()) {
                    const bool isLong = m_attempts[caller.connection->pendingIDs().front()].isLong;
                    const bool sendsOn = caller.connection->isOpen() && m_random() % 4 == 0 && !isLong;
                    if (!m_returns || m_shapeRandom() % waitsPerReturn) {
                        if (sendsOn)
                            sendBatch(*daemon, caller, now);
                        continue;
                    }
                    for (const auto& id : caller.connection->pendingIDs()) {
                        giveUp(id);
                        m_attempts[id].client = cells::Client::BackAtOnce;
                    }
                    caller.connection.reset();
                    caller.isBack = true;
                }
                if (!caller.connection || !caller.connection->isOpen()) {
                    // Callers start no connection to a daemon that has missed two readiness probes.
                    if (daemon->unansweredProbes >= probesUntilOut)
                        continue;
                    caller.connection = connect(*daemon);
                    if (!caller.connection->isOpen()) {
                        fail("daemon-" + std::to_string(daemon->index) + " refused a connection before it was out");
                        continue;
                    }
                }
                sendBatch(*daemon, caller, now);
            }
        }
    }

    std::unique_ptr<KeptConnection> connect(const DaemonProcess& daemon)
    {
        return std::make_unique<KeptConnection>(address(daemon.index, Callers),
            KeptConnection::Callbacks {
                [this](const std::string& id, uint16_t status, const std::string& body) { onAnswer(id, status, body); },
                [this](const std::vector<std::string>& ids) { onEnd(ids); },
            });
    }

    std::string addAttempt(const DaemonProcess& daemon, const char* delivery, TimePoint now)
    {
        auto id = "attempt-" + std::to_string(++m_nextID);
        auto& attempt = m_attempts[id];
        attempt.daemon = daemon.index;
        attempt.delivery = delivery;
        attempt.firstSent = now;
        m_open.insert(id);
        attempt.idempotent = m_random() % 2;
        attempt.changing = attempt.idempotent && m_random() % 8 == 0;
        return id;
    }

    std::string head(const std::string& id, const std::string& framing)
    {
        const auto& attempt = m_attempts[id];
        const char* line = attempt.changing ? "PUT /changing/" : attempt.idempotent ? "PUT /read/" : "POST /order/";
        return std::string(line) + " HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + id + "\r\n"
            + std::string(platform::header::key) + ": key-1\r\n" + framing + "\r\n\r\n";
    }

    // A third of the batches are pipelined. One in six requests is sent slowly, one batch in eight by callers that then finish.
    void sendBatch(const DaemonProcess& daemon, Caller& caller, TimePoint now)
    {
        const auto kind = m_random() % 12;
        if (kind < 2) {
            sendSlowly(daemon, caller, kind, now);
            return;
        }
        std::string text;
        std::vector<std::string> ids;
        const auto& pending = caller.connection->pendingIDs();
        auto behind = pending.empty() ? std::string() : pending.back();
        const bool finishes = m_random() % 8 == 0;
        const bool isBack = std::exchange(caller.isBack, false);
        const auto client = finishes ? cells::Client::HalfClosed : isBack ? cells::Client::BackAtOnce : cells::Client::Kept;
        for (size_t count = m_random() % 3 ? 1 : 2 + m_random() % 2; count; --count) {
            ids.push_back(addAttempt(daemon, finishes ? "half-closed" : "kept", now));
            auto& attempt = m_attempts[ids.back()];
            attempt.sent = now;
            attempt.client = client;
            attempt.behind = std::exchange(behind, ids.back());
            attempt.bodyBytes = m_random() % 8 ? m_random() % 200 : largeBodyBytes;
            text
                += head(ids.back(), "Content-Length: " + std::to_string(attempt.bodyBytes)) + std::string(attempt.bodyBytes, 'b');
        }
        if (m_returns && m_shapeRandom() % batchesPerPause == 0)
            caller.connection->pauseInAnswer(Duration(static_cast<int64_t>(m_shapeRandom() % longestReadingPause.count())));
        caller.connection->send(text, std::move(ids));
        if (finishes)
            caller.connection->finishSending();
    }

    // A chunked body in several parts, or a header section in two.
    void sendSlowly(const DaemonProcess& daemon, Caller& caller, unsigned kind, TimePoint now)
    {
        const bool isChunked = kind == 0;
        const auto id = addAttempt(daemon, isChunked ? "slow body" : "cut header section", now);
        m_attempts[id].client = cells::Client::Slow;
        if (caller.connection->pending())
            m_attempts[id].behind = caller.connection->pendingIDs().back();
        if (isChunked) {
            caller.parts.push_back(head(id, "Transfer-Encoding: chunked"));
            const auto chunks = 2 + m_random() % 7;
            m_attempts[id].bodyBytes = chunks * chunkBytes;
            std::ostringstream chunk;
            chunk << std::hex << chunkBytes << "\r\n" << std::string(chunkBytes, 'b') << "\r\n";
            caller.parts.insert(caller.parts.end(), chunks, chunk.str());
            caller.parts.emplace_back("0\r\n\r\n");
        } else {
            const auto text = head(id, "Content-Length: 0");
            const auto cut = 1 + m_random() % (text.size() - 1);
            caller.parts = { text.substr(0, cut), text.substr(cut) };
        }
        caller.partsID = id;
        caller.partInterval = randomUpTo(isChunked ? Duration(500ms) : longestPart);
        caller.nextPart = now + caller.partInterval;
        caller.connection->send(caller.parts.front(), { id });
        caller.parts.pop_front();
    }

    void sendParts(Caller& caller, TimePoint now)
    {
        if (!caller.connection->pending()) { // Answered early, or the connection ended
            caller.parts.clear();
            caller.connection.reset();
            return;
        }
        if (now < caller.nextPart)
            return;
        caller.nextPart = now + caller.partInterval;
        const auto part = caller.parts.front();
        caller.parts.pop_front();
        if (caller.parts.empty())
            m_attempts[caller.partsID].sent = now;
        caller.connection->sendMore(part);
    }

    void onAnswer(const std::string& id, uint16_t status, const std::string& body)
    {
        if (id.empty()) {
            fail("a caller got bytes that no request waits for: " + body.substr(0, 60));
            return;
        }
        m_nested.end(id);
        auto& attempt = m_attempts[id];
        attempt.status = status;
        attempt.answered = MonotonicClock::now();
        attempt.hasEnded = true;
        ++m_statuses[status];
        if (m_makesMany && std::string_view(attempt.delivery) == "nested")
            ++m_nestedStatuses[status];
        const bool isGiven = body == answerTo(id);
        if (isGiven ? !attempt.given.count(status) : status == 200)
            fail("a caller got an answer that no backend server gave: " + id);
        if ((status == 503 || status == 429) && attempt.runs)
            fail("a caller got 503 or 429 for a request that ran: " + id);
        const bool routeIsSettled = attempt.firstSent > m_routeChanged + lost::applyTime;
        if (attempt.changing && status == (m_hasChangingRoute ? 404 : 200) && routeIsSettled)
            reportCase("handled by an old configuration", id);
        if (isGiven && status == 504)
            countTimeout(id);
        if (!isGiven && status != 503 && status != 429 && !(attempt.changing && status == 404))
            judgeAnswer(id);
    }

    void onEnd(const std::vector<std::string>& ids)
    {
        for (const auto& id : ids) {
            m_nested.end(id);
            auto& attempt = m_attempts[id];
            attempt.hasEnded = true;
            ++m_statuses[0];
            if (m_daemons[attempt.daemon]->isKilled)
                ++m_excused["lost with a killed daemon"];
            else
                judgeEnd(id);
        }
    }

    // Judgement

    static lost::EndedRequest endedRequest(const Attempt& attempt, lost::AnswerOf answer)
    {
        lost::EndedRequest request;
        request.sent = attempt.sent;
        request.ended = MonotonicClock::now();
        request.atWorkUntil = attempt.openRuns ? request.ended : attempt.runEnded;
        request.deadline = attempt.deadline;
        request.routeLimit = attempt.firstSent + shortestLimit;
        request.answer = answer;
        request.status = attempt.status;
        request.wasPassedOn = attempt.runs;
        request.isAtWork = attempt.openRuns;
        return request;
    }

    // The daemon's own, and no refusal for lack of room.
    void judgeAnswer(const std::string& id)
    {
        const auto& attempt = m_attempts[id];
        const auto request = endedRequest(attempt, lost::AnswerOf::Daemon);
        const auto judgement = lost::judge(request, m_daemons[attempt.daemon]->work, m_configurations);
        const std::string kind = attempt.openRuns ? "broken off" : attempt.runs ? "failed after its run" : "failed without a run";
        if (judgement.verdict == lost::Verdict::Refused) // No caller of the soak asks for one of these
            reportCase("refused with " + std::to_string(attempt.status), id);
        else
            settle(kind, id, request, judgement);
    }

    // A daemon may have given less time than the sender and the route did. The answer is the backend server's own all the same,
    // but where the rule wouldn't have let the run be broken off this is shown.
    void countTimeout(const std::string& id)
    {
        ++m_givenTimeouts;
        const auto& attempt = m_attempts[id];
        auto request = endedRequest(attempt, lost::AnswerOf::Nobody);
        request.atWorkUntil += deadlineStep;
        request.ended += deadlineStep;
        const auto judgement = lost::judge(request, m_daemons[attempt.daemon]->work, m_configurations);
        if (judgement.verdict == lost::Verdict::Excused || lost::isLateInStop(request, m_daemons[attempt.backend]->work.stops))
            return;
        ++m_earlyTimeouts;
        print("504 of its backend server before its time was over", id);
    }

    void judgeEnd(const std::string& id)
    {
        const auto& attempt = m_attempts[id];
        const auto& daemon = *m_daemons[attempt.daemon];
        const auto request = endedRequest(attempt, lost::AnswerOf::Nobody);
        const auto judgement = lost::judge(request, daemon.work, m_configurations);
        const bool isUnsent = judgement.verdict == lost::Verdict::Unsent;
        if (!isUnsent && judgement.verdict != lost::Verdict::Crossed) {
            settle(attempt.runs ? "lost after it was passed on" : "lost after it was read", id, request, judgement);
        } else if (daemon.stopRequested == TimePoint()) {
            reportCase("closed without a stop", id);
        } else if (!isUnsent || request.ended - attempt.firstSent <= lost::readSlack) {
            ++m_crossings;
            print("crossed the close", id);
        } else if (request.ended >= daemon.stopRequested + daemon.timeToStop * 5 / 6) {
            ++m_unfinished;
        } else {
            reportCase("closed while it was sent", id);
        }
    }

    // The soak's runs end long before their route's time-out, so without stalls a request that reaches it has hung.
    bool isAllowed(const Attempt& attempt, const lost::Judgement& judgement) const
    {
        const bool timedOut = m_stalls.isEnabled() && attempt.status == 504 && attempt.openRuns;
        return judgement.verdict == lost::Verdict::Excused && (judgement.reason != lost::Reason::RouteLimit || timedOut);
    }

    // Reports a request without a good end, unless it is excused. The stop of the daemon beside its backend server is no planned
    // work of the one that took it: that is LOST by the letter only where the other one has planned work too. Both are shown,
    // with the work that counts, and don't fail the play.
    void settle(
        const std::string& kind, const std::string& id, const lost::EndedRequest& request, const lost::Judgement& judgement)
    {
        const auto& attempt = m_attempts[id];
        if (isAllowed(attempt, judgement)) {
            ++m_excused[kind + " " + lost::toString(judgement.reason)];
            return;
        }
        const auto counted = judgement.verdict == lost::Verdict::Lost ? std::string(" ") + lost::toString(judgement.work) : "";
        if (lost::isLateInStop(request, m_daemons[attempt.backend]->work.stops)) {
            ++m_excused["ended by the other daemon's stop" + counted];
            print("ended by the other daemon's stop, " + kind + counted, id);
            return;
        }
        const auto disruptions = m_stalls.of(attempt.daemon);
        reportCase(kind + counted + (lost::isBesideDisruption(request, disruptions) ? " beside a stall" : ""), id);
    }

    // Cells

    void countCells(TimePoint now)
    {
        std::erase_if(m_open, [this, now](const std::string& id) {
            const auto& attempt = m_attempts[id];
            const bool isGivenUp = attempt.client == cells::Client::Gone || attempt.client == cells::Client::BackAtOnce;
            if (!attempt.hasEnded || (isGivenUp && attempt.openRuns))
                countCells(attempt, now);
            return attempt.hasEnded && !attempt.openRuns;
        });
    }

    void countCells(const Attempt& attempt, TimePoint now)
    {
        cells::Moment moment { cells::Who::Entry, whereIs(attempt, now), attempt.maker, attempt.client };
        const auto* entry = stopAt(attempt.daemon, now);
        const auto* backend = attempt.runs && attempt.backend != attempt.daemon ? stopAt(attempt.backend, now) : nullptr;
        if (const auto* stop = entry ? entry : backend) {
            const bool isAfter = now >= stop->nextStart;
            moment.when = isAfter ? cells::When::AfterRestart : cells::whenOf(now - stop->requested, stop->shutdownTime);
            moment.who = entry && backend ? cells::Who::Both : entry ? cells::Who::Entry : cells::Who::Backend;
            m_cells.add(moment);
            moment.who = cells::Who::OneTwice;
            if (stop->isSentAgain)
                m_cells.add(moment);
            return;
        }
        const auto addWork = [this, &moment, now](cells::Who who, TimePoint signal) {
            moment.who = who;
            moment.when = cells::whenOf(now - signal, reloadTime);
            if (now < signal + reloadTime)
                m_cells.add(moment);
        };
        for (const auto reload : m_daemons[attempt.daemon]->work.reloads)
            addWork(cells::Who::Reload, reload);
        for (const auto& configuration : m_configurations)
            addWork(cells::Who::Configuration, configuration.sent);
    }

    // Null: the planned end of none of its processes counts.
    const lost::Stop* stopAt(size_t daemon, TimePoint now) const
    {
        const auto& stops = m_daemons[daemon]->work.stops;
        const bool counts = !stops.empty() && now <= stops.back().requested + stops.back().shutdownTime + lost::afterShutdownTime;
        return counts ? &stops.back() : nullptr;
    }

    // When a daemon has read a request can't be seen from outside: it is taken for read, then for queued, by the time.
    cells::Where whereIs(const Attempt& attempt, TimePoint now) const
    {
        if (attempt.sent == TimePoint())
            return cells::Where::HalfSent;
        if (attempt.isPartlyAnswered)
            return cells::Where::AnswerHalfSent;
        if (attempt.openRuns)
            return cells::Where::Running;
        const auto behind = m_attempts.find(attempt.behind);
        if (behind != m_attempts.end() && !behind->second.hasEnded)
            return cells::Where::Behind;
        return attempt.runs || now > attempt.sent + readTime ? cells::Where::OnTheWay : cells::Where::Read;
    }

    // Result

    void reportCase(const std::string& kind, const std::string& id)
    {
        ++m_cases[kind];
        m_failed = true;
        if (m_reported++ < maximumReportedCases)
            print("FAILED " + kind, id);
    }

    void print(const std::string& kind, const std::string& id)
    {
        const auto& attempt = m_attempts[id];
        const auto now = MonotonicClock::now();
        const auto stopOf = [this, now](size_t daemon) {
            const auto stopped = m_daemons[daemon]->stopRequested;
            return stopped == TimePoint() ? std::string("no stop")
                                          : std::to_string(toSeconds(now - stopped)) + " s after SIGTERM";
        };
        std::cerr << kind << ": " << id << " (" << attempt.delivery << ") at daemon-" << attempt.daemon << ", status "
                  << attempt.status << ", sent "
                  << toSeconds(now - (attempt.sent == TimePoint() ? attempt.firstSent : attempt.sent)) << " s ago, "
                  << attempt.runs << " runs, " << attempt.openRuns << " open, " << predecessorOf(attempt, now)
                  << (m_brokenOff.count(id) ? "closed at its backend server, " : "") << stopOf(attempt.daemon)
                  << ", its backend server's daemon-" << attempt.backend << " " << stopOf(attempt.backend)
                  << stallOf("its daemon", attempt.daemon, now) << stallOf("its backend server's daemon", attempt.backend, now)
                  << ", time " << std::to_string(static_cast<double>(WallClock::milliseconds()) / 1e3) << "\n";
    }

    // A daemon reads a pipelined request when it has answered the one before.
    std::string predecessorOf(const Attempt& attempt, TimePoint now)
    {
        if (attempt.behind.empty())
            return {};
        const auto answered = m_attempts[attempt.behind].answered;
        return "behind " + attempt.behind
            + (answered == TimePoint() ? " without an answer, "
                                       : " answered " + std::to_string(toSeconds(now - answered)) + " s ago, ");
    }

    std::string stallOf(const char* what, size_t daemon, TimePoint now) const
    {
        const auto* stall = m_stalls.latest(daemon);
        if (!stall)
            return {};
        const bool isOver = stall->end != TimePoint::max();
        return std::string(", ") + what + " (" + std::to_string(daemon) + ")"
            + (isOver ? " back from a stall" : " standing still") + " for "
            + std::to_string(toSeconds(now - (isOver ? stall->end : stall->start))) + " s";
    }

    void fail(const std::string& what)
    {
        m_failed = true;
        std::cerr << "FAILED " << what << "\n";
    }

    int report()
    {
        const auto latest = MonotonicClock::now() - longestLimit - lost::readSlack;
        for (const auto& [id, attempt] : m_attempts) {
            // A daemon reads a request when it has answered the one before on its connection, which is judged here as well.
            const auto behind = m_attempts.find(attempt.behind);
            const bool isFirst = behind == m_attempts.end();
            const auto readAt = isFirst ? attempt.sent : std::max(attempt.sent, behind->second.answered);
            const bool isRead = isFirst || behind->second.hasEnded;
            if (!attempt.hasEnded && isRead && attempt.sent != TimePoint() && readAt < latest)
                reportCase("never answered", id);
        }
        std::cout << "actions " << m_actions << " callers " << m_callerCount << " requests " << m_attempts.size() << " answered";
        for (const auto& [status, count] : m_statuses)
            std::cout << " " << status << ":" << count;
        std::cout << ", crossed the close " << m_crossings << ", not sent whole by the end " << m_unfinished << ", longest turn "
                  << toSeconds(m_longestTurn) << " s";
        for (const auto& [kind, count] : m_cases)
            std::cout << ", " << kind << " " << count;
        for (const auto& [kind, count] : m_excused)
            std::cout << ", excused " << kind << " " << count;
        for (const auto& [status, count] : m_nestedStatuses)
            std::cout << ", nested " << status << ":" << count;
        if (m_givenTimeouts)
            std::cout << ", 504 of backend servers " << m_givenTimeouts << " (not late in a stop " << m_earlyTimeouts << ")";
        if (m_givenUp)
            std::cout << ", given up " << m_givenUp;
        std::cout << ", cells met " << m_cells.met() << " of " << CellCount::total();
        std::cout << (m_failed ? " FAILED\n" : " ok\n");
        if (numberFromEnvironment("SHALLOT_STOPS_CELLS", 0)) {
            for (const auto& name : m_cells.missing())
                std::cout << "not met: " << name << "\n";
        }
        return m_failed ? 1 : 0;
    }

    std::string m_program;
    std::string m_folder;
    std::mt19937 m_random;
    std::mt19937 m_shapeRandom; // The shapes leave the other draws as they are
    std::mt19937 m_deafRandom;
    bool m_makesMany { hasShape("nested") };
    bool m_returns { hasShape("returns") };
    bool m_stopsPairs { hasShape("pairs") };
    TimePoint m_nextOfPair { TimePoint::max() }; // max(): none
    size_t m_firstOfPair { 0 };
    ProcessStalls m_stalls;
    bool m_acts;
    size_t m_daemonCount;
    size_t m_callerCount; // Beside each daemon
    std::vector<uint16_t> m_basePorts;
    StoreStandin m_store;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    NestedCalls m_nested;
    std::map<std::string, Attempt> m_attempts;
    std::set<std::string> m_open; // Attempts that have not ended, or still run
    CellCount m_cells;
    std::vector<Run> m_runs;
    std::set<std::string> m_brokenOff;
    std::map<uint16_t, size_t> m_statuses;
    std::map<uint16_t, size_t> m_nestedStatuses; // Of runs that make many calls
    size_t m_givenUp { 0 };
    size_t m_givenTimeouts { 0 }; // Own answers of backend servers at the deadline that they were given
    size_t m_earlyTimeouts { 0 }; // Of these, before their time was over and not late in a stop
    std::map<std::string, size_t> m_cases;
    std::map<std::string, size_t> m_excused;
    std::vector<lost::Configuration> m_configurations;
    uint64_t m_version { 0 };
    bool m_hasChangingRoute { false };
    TimePoint m_routeChanged {};
    size_t m_crossings { 0 };  // Ended at a stop within the answer slack of their last byte
    size_t m_unfinished { 0 }; // Ended with the shutdown time, before their last byte was sent
    Duration m_longestTurn {}; // Of the main loop; the checks of the readiness probes assume less than half a second
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
