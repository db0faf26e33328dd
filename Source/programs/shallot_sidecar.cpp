// shallot-sidecar: the overload control daemon of one backend server on the platform.

#include "core/EventLog.h"
#include "core/FatalSignals.h"
#include "core/Heap.h"
#include "core/Log.h"
#include "core/Version.h"
#include "mesh/MeshSettings.h"
#include "platform/InstanceSettings.h"
#include "sidecar/Sidecar.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <glib-unix.h>
#include <glib.h>
#include <iostream>
#include <sys/stat.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr size_t minimumSecretLength = 16;
constexpr double leastMemoryMB = 32; // Room for two of the longest responses

struct Flags {
    std::string peerSecret;
    bool checkOnly { false };
};

Flags readFlags(int argc, char** argv)
{
    const char* secret = std::getenv("SHALLOT_PEER_SECRET");
    TCLAP::CmdLine line("Overload control daemon for one backend server on the platform", ' ', shallot::versionText);
    TCLAP::ValueArg<std::string> peerSecret("", "peer-secret",
        "secret shared by the fleet, at least 16 characters [SHALLOT_PEER_SECRET]", false, secret ? secret : "", "text", line);
    TCLAP::SwitchArg check("", "check", "check the settings and exit", line);
    line.parse(argc, argv);
    return { peerSecret.getValue(), check.getValue() };
}

void configureLogging()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

shallot::MeshSettings meshSettings(const shallot::platform::InstanceSettings& instance)
{
    shallot::MeshSettings settings;
    settings.keyStaleness = instance.keyStaleness;
    settings.retryShare = instance.retryShare;
    settings.retryAllowance = instance.retryAllowance;
    constexpr double bytesPerMB = 1024 * 1024;
    const auto memoryBytes = std::max(instance.memoryMB, leastMemoryMB) * bytesPerMB;
    settings.maximumUnreadResponseBytes = static_cast<size_t>(memoryBytes * settings.unreadResponseShare);
    settings.maximumReceivedResponseBytes
        = std::min(settings.maximumReceivedResponseBytes, static_cast<size_t>(memoryBytes * settings.receivedResponseShare));
    settings.announcementTimeout = instance.announcementInterval * 3 + shallot::fromSeconds(0.5);
    return settings;
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    return signals;
}

// Keeps the settings in force when the new ones cannot be read.
void reloadSettings(shallot::Sidecar& sidecar)
{
    if (const auto instance = shallot::platform::readInstanceSettings())
        sidecar.applySettings(*instance);
    else
        shallot::EventLog::write("reload-refused", { { "detail", instance.error().detail } });
}

// Set by the handler of the signals, which only wakes the main loop. The shutdown time begins when the signal arrives, and a busy
// main loop may handle it much later; GLib's signal sources pass through another thread besides and do not tell the time.
struct ArrivedSignals {
    std::atomic<int64_t> terminatedAt { 0 }; // Microseconds of MonotonicClock; zero before the first SIGTERM or SIGINT
    std::atomic<bool> reload { false };
    int wakeDescriptor { -1 };
};

ArrivedSignals arrivedSignals;

// A lock in a signal handler could wait for the code that it interrupted.
static_assert(std::atomic<int64_t>::is_always_lock_free && std::atomic<bool>::is_always_lock_free);

extern "C" void recordSignal(int signal)
{
    const int savedErrno = errno;
    int64_t none = 0;
    if (signal == SIGHUP)
        arrivedSignals.reload = true;
    else
        arrivedSignals.terminatedAt.compare_exchange_strong(none, shallot::MonotonicClock::now().time_since_epoch().count());
    const char wake = 0;
    [[maybe_unused]] const auto written = ::write(arrivedSignals.wakeDescriptor, &wake, sizeof wake); // A full pipe wakes as well
    errno = savedErrno;
}

gboolean onSignals(gint descriptor, GIOCondition, gpointer data)
{
    auto& sidecar = *static_cast<shallot::Sidecar*>(data);
    std::array<char, 64> wakes {};
    while (::read(descriptor, wakes.data(), wakes.size()) > 0) { }
    const shallot::TimePoint terminatedAt { shallot::Duration(arrivedSignals.terminatedAt) };
    const bool leaves = terminatedAt != shallot::TimePoint();
    // The settings may also have changed without a signal.
    if (arrivedSignals.reload.exchange(false) || leaves)
        reloadSettings(sidecar);
    if (leaves)
        sidecar.leave(terminatedAt);
    return G_SOURCE_CONTINUE;
}

bool handleSignals(shallot::Sidecar& sidecar)
{
    std::array<int, 2> wakePipe {};
    if (pipe2(wakePipe.data(), O_NONBLOCK | O_CLOEXEC))
        return false;
    arrivedSignals.wakeDescriptor = wakePipe[1];
    g_unix_fd_add_full(G_PRIORITY_HIGH, wakePipe[0], G_IO_IN, onSignals, &sidecar, nullptr);
    struct sigaction action { };
    action.sa_handler = recordSignal;
    action.sa_flags = SA_RESTART;
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaction(signal, &action, nullptr);
    return true;
}

// Reloads the settings when their file changes, also without SIGHUP.
class SettingsWatch {
public:
    explicit SettingsWatch(shallot::Sidecar& sidecar)
        : m_sidecar(sidecar)
        , m_changedAt(modificationTime())
    {
        m_timer.startRepeating(checkInterval, [this] { check(); });
    }

private:
    static constexpr auto checkInterval = std::chrono::seconds(2);

    static std::pair<time_t, long> modificationTime()
    {
        struct stat info { };
        if (stat(shallot::platform::instanceSettingsPath().c_str(), &info))
            return {};
        return { info.st_mtim.tv_sec, info.st_mtim.tv_nsec };
    }

    void check()
    {
        if (const auto changedAt = modificationTime(); changedAt != m_changedAt) {
            m_changedAt = changedAt;
            reloadSettings(m_sidecar);
        }
    }

    shallot::Sidecar& m_sidecar;
    std::pair<time_t, long> m_changedAt;
    shallot::Timer m_timer;
};

int run(int argc, char** argv)
{
    shallot::returnLargeBlocks();
    // The default action would end the process; signals wait until their handlers are installed.
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto flags = readFlags(argc, argv);
    const auto instance = shallot::platform::readInstanceSettings();
    if (!instance) {
        std::cerr << "shallot-sidecar: " << instance.error().detail << "\n";
        return 2;
    }
    if (flags.peerSecret.size() < minimumSecretLength) {
        std::cerr << "shallot-sidecar: --peer-secret must have at least " << minimumSecretLength << " characters\n";
        return 2;
    }
    if (flags.checkOnly) {
        std::cout << "instance " << instance->instance << " in " << instance->zone << "\n";
        return 0;
    }
    configureLogging();
    shallot::EventLog::open(instance->instance);
    shallot::logFatalSignals();
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: write() reports a closed connection
    std::signal(SIGXFSZ, SIG_IGN); // NOLINT: write() reports a file that may not grow
    const auto settings = meshSettings(*instance);
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    int status = 0;
    {
        shallot::Sidecar sidecar(*instance, settings, flags.peerSecret);
        sidecar.setLeaveCompletedHandler([loop] { g_main_loop_quit(loop); });
        if (const auto started = sidecar.start(); !started) {
            std::cerr << "shallot-sidecar: " << started.error().detail << "\n";
            status = 1;
        } else if (!handleSignals(sidecar)) {
            std::cerr << "shallot-sidecar: no pipe for signals: " << std::strerror(errno) << "\n";
            status = 1;
        } else {
            pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
            const SettingsWatch watch(sidecar);
            g_main_loop_run(loop);
        }
    }
    shallot::EventLog::flushAtEnd(); // Connections that the end of the process cuts
    g_main_loop_unref(loop);
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& exception) {
        shallot::EventLog::writeProcessEnd(0, exception.what());
        std::cerr << "shallot-sidecar: " << exception.what() << "\n";
        return 1;
    }
}
