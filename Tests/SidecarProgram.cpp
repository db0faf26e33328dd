#include "SidecarProgram.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <sys/prctl.h>
#include <unistd.h>

namespace shallot {

namespace {

pid_t startProgram(const std::filesystem::path& settings, const char* sanitizerOptions)
{
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "shallot-sidecar";
    const pid_t pid = fork();
    if (pid)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("SHALLOTTRACK_CONFIG", settings.c_str(), 1);
    setenv("SHALLOT_PEER_SECRET", "a secret of the tests", 1);
    if (sanitizerOptions) {
        const char* given = std::getenv("ASAN_OPTIONS");
        setenv("ASAN_OPTIONS", ((given ? std::string(given) + ":" : "") + sanitizerOptions).c_str(), 1);
    }
    const char* log = std::getenv("SHALLOT_SIDECAR_LOG");
    if (!std::freopen(log ? log : "/dev/null", "a", stdout))
        _exit(126);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(127);
}

} // namespace

pid_t startSidecarProgram(const std::filesystem::path& settings)
{
    return startProgram(settings, nullptr);
}

pid_t startMeasuredSidecarProgram(const std::filesystem::path& settings)
{
    return startProgram(settings, "quarantine_size_mb=16");
}

} // namespace shallot
