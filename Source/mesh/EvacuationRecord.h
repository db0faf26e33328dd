#pragma once

#include <cstdint>
#include <string>

namespace shallot {

// What a record of the operators' topic says of a zone.
struct EvacuationRecord {
    enum class Kind : uint8_t {
        Evacuated,
        Revoked,
        Unreadable, // Says nothing; the state before it stays
    };

    std::string zone;
    uint64_t offset { 0 }; // Of the record
    Kind kind { Kind::Evacuated };
};

} // namespace shallot
