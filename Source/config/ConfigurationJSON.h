#pragma once

#include "config/ConfigurationChange.h"

#include <string>
#include <string_view>

typedef struct _JsonObject JsonObject;

namespace shallot {

class JSONWriter;

// The operators' document: {"organisations": {...}, "plans": {...}, "routes": {...}, "zones": {...}}.
Result<Configuration> parseConfiguration(std::string_view text);
Result<Configuration> readConfiguration(JsonObject*);
std::string formatConfiguration(const Configuration&, bool pretty = true);
void writeConfiguration(JSONWriter&, const Configuration&);

// The body of an edit as the admin API and the log carry it.
Result<ConfigurationEdit> readEdit(JsonObject*);
void writeEdit(JSONWriter&, const ConfigurationEdit&);

} // namespace shallot
