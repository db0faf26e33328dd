#pragma once

#include <easylogging++.h>

// Writes a log line with the prefix of a component, for instance `SHALLOT_LOG(INFO, "link") << ...`. API keys, secrets and
// request bodies must never be logged.
#define SHALLOT_LOG(level, part) LOG(level) << "[" part "] "
