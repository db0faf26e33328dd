#pragma once

#include "config/ConfigurationChange.h"

#include <string>
#include <string_view>

typedef struct _JsonObject JsonObject;

namespace shallot {

class JSONWriter;

// The configuration as JSON: {"organisations": {...}, "plans": {...}, "routes": {...}, "zones": {...}}. EditInvalid when the text
// or one of its items is not an object; values are checked by validate() only.
Result<Configuration> parseConfiguration(std::string_view text);
Result<Configuration> readConfiguration(JsonObject*);
std::string formatConfiguration(const Configuration&, bool pretty = true);
void writeConfiguration(JSONWriter&, const Configuration&);

// An edit as JSON, as used by the admin API and the log. EditInvalid when the list of changes or the list of a change is missing.
Result<ConfigurationEdit> readEdit(JsonObject*);
void writeEdit(JSONWriter&, const ConfigurationEdit&);

} // namespace shallot
