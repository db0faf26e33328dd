#pragma once

#include <filesystem>
#include <sys/types.h>

namespace shallot {

// Starts the shallot-sidecar built beside this program, without output, and returns its process id. It ends with this process,
// since it would keep its ports.
pid_t startSidecarProgram(const std::filesystem::path& settings);

} // namespace shallot
