// shallotd: the overload control daemon of one backend server.

#include "core/Log.h"
#include "daemon/Daemon.h"
#include "daemon/Settings.h"

#include <csignal>
#include <glib-unix.h>
#include <glib.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

void configureLogging(const std::string& level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const bool debug = level == "debug";
    const bool info = debug || level == "info";
    const bool warning = info || level == "warning";
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, debug ? "true" : "false");
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, info ? "true" : "false");
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, warning ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

struct Program {
    GMainLoop* loop;
    shallot::Daemon& daemon;
};

gboolean onTerminate(gpointer data)
{
    auto* program = static_cast<Program*>(data);
    program->daemon.leave();
    return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char** argv)
{
    const auto settings = shallot::readSettings(argc, argv);
    if (!settings) {
        std::cerr << "shallotd: " << settings.error().detail << "\n";
        return 2;
    }
    if (settings->checkOnly) {
        std::cout << shallot::describeSettings(*settings);
        return 0;
    }
    configureLogging(settings->logLevel);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT: write() reports a closed connection
    std::signal(SIGXFSZ, SIG_IGN); // NOLINT: write() reports a file that may not grow
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    int status = 0;
    {
        shallot::Daemon daemon(*settings);
        Program program { loop, daemon };
        daemon.setLeaveCompletedHandler([loop] { g_main_loop_quit(loop); });
        if (const auto started = daemon.start(); !started) {
            std::cerr << "shallotd: " << started.error().detail << "\n";
            status = 1;
        } else {
            g_unix_signal_add(SIGTERM, onTerminate, &program);
            g_unix_signal_add(SIGINT, onTerminate, &program);
            g_main_loop_run(loop);
        }
    }
    g_main_loop_unref(loop);
    return status;
}
