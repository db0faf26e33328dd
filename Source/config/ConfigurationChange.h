#pragma once

#include "config/Configuration.h"
#include "core/Error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallot {

// Sets one named item of one list, or removes it.
struct ConfigurationChange {
    enum class List : uint8_t {
        Organisations,
        Plans,
        Routes,
        Zones,
    };
    using Value = std::variant<std::monostate, Organisation, Plan, Route, Zone>;

    List list { List::Organisations };
    std::string name;
    Value value; // std::monostate removes the item
};

// One operator's edit, whole or not at all.
struct ConfigurationEdit {
    uint64_t base { 0 };       // Revision that the operator saw; an item changed since voids the edit
    std::string author;        // Operator's name, for the audit trail
    std::string note;          // Operator's reason, for the audit trail
    int64_t wallClockMs { 0 }; // When it was submitted, for the audit trail only
    std::vector<ConfigurationChange> changes;
};

std::string_view toString(ConfigurationChange::List);

// Changes that turn one configuration into another.
std::vector<ConfigurationChange> difference(const Configuration& from, const Configuration& to);
// Sets or removes the items; checks nothing.
void applyChanges(Configuration&, const std::vector<ConfigurationChange>&);
// EditInvalid with the item's name when references are missing or a value is out of range.
Result<void> validate(const Configuration&);

} // namespace shallot
