#pragma once

#include <easylogging++.h>

// Log lines are short sentences behind a fixed prefix for each part, for instance `SHALLOT_LOG(INFO, "link") << ...`.
// Keys, secrets and request bodies are never logged.
#define SHALLOT_LOG(level, part) LOG(level) << "[" part "] "
