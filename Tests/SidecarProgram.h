#pragma once

#include <filesystem>
#include <sys/types.h>

namespace shallot {

// Starts the shallot-sidecar built beside this program and returns its process id. Its output goes to the file named by the
// environment variable SHALLOT_SIDECAR_LOG, if it is set. It ends with this process, since it would keep its ports.
pid_t startSidecarProgram(const std::filesystem::path& settings);

} // namespace shallot
