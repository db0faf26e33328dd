#pragma once

#include <cstddef>
#include <filesystem>
#include <sys/types.h>

namespace shallot {

// Starts the shallot-sidecar built beside this program and returns its process id. Its output goes to the file named by the
// environment variable SHALLOT_SIDECAR_LOG, if it is set. It ends with this process, since it would keep its ports.
pid_t startSidecarProgram(const std::filesystem::path& settings);

// The same for a test of its memory: the address sanitizer keeps only 16 MB of what was freed, in place of 256 MB.
pid_t startMeasuredSidecarProgram(const std::filesystem::path& settings);

// The greatest peak memory that such a process may have with `limitMB` in its settings. The sanitizer's shadow memory and red
// zones double it.
constexpr size_t memoryBoundMB(size_t limitMB)
{
#if defined(__SANITIZE_ADDRESS__)
    return limitMB * 2;
#else
    return limitMB;
#endif
}

} // namespace shallot
