#pragma once

namespace shallot {

constexpr const char* versionText = "0.1.0";

} // namespace shallot
