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

// An operator's edit, which is applied atomically.
struct ConfigurationEdit {
    uint64_t base { 0 };       // Revision that the edit is based on; conflicts with later changes of its items
    std::string author;        // Operator's name, for the audit trail
    std::string note;          // Operator's reason, for the audit trail
    int64_t wallClockMs { 0 }; // Time of submission in milliseconds since 1970, for the audit trail only
    std::vector<ConfigurationChange> changes;
};

std::string_view toString(ConfigurationChange::List);

// Returns the changes that turn `from` into `to`.
std::vector<ConfigurationChange> difference(const Configuration& from, const Configuration& to);
// Sets or removes the items without validating them.
void applyChanges(Configuration&, const std::vector<ConfigurationChange>&);
// EditInvalid with the item's name when a referenced item does not exist or a value is invalid.
Result<void> validate(const Configuration&);

} // namespace shallot
