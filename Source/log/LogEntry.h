#pragma once

#include "config/ConfigurationChange.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace shallot {

// An operator's edit of the configuration.
struct EditEntry {
    ConfigurationEdit edit;
};

// A daemon announces itself, or replaces its witnesses.
struct JoinEntry {
    std::string member; // Unique for each start of a process
    std::string zone;
    std::string address;                // "IP:port" of the peer link
    std::vector<std::string> witnesses; // Members whose majority can revoke this one
};

// A daemon has stopped for good; written by itself.
struct LeaveEntry {
    std::string member;
};

// A daemon that seems dead loses its ownerships. Valid only with a majority of its witnesses.
struct RevokeEntry {
    std::string member;
    uint64_t joinOffset { 0 };      // Offset of the join entry whose witnesses promised
    std::vector<std::string> votes; // Witnesses that no longer vouch for the member
};

// Takes, resizes or hands over one part of a zone's share of all plans.
struct OwnershipEntry {
    std::string zone;
    uint32_t partition { 0 };
    uint64_t expectedEpoch { 0 }; // Epoch that the writer saw; another one voids the entry
    std::string owner;
    uint32_t fractionPpm { 0 };   // Millionths of each plan's rate and burst
    bool cleanTransfer { false }; // The writer owned the part, was free to lend it, and has stopped
};

// A non-idempotent request is about to run. The first claim of a key wins.
struct ClaimEntry {
    std::string organisation;
    std::string key;         // The caller's Idempotency-Key
    uint64_t fingerprint {}; // Hash of the request, to detect reuse of a key for another request
    std::string holder;      // Member that runs the request and keeps its answer
};

// The holder states that the claimed request did not run, so the key is free again.
struct ReleaseEntry {
    std::string organisation;
    std::string key;
    std::string holder;
};

// The whole state of the fold, appended before old records expire.
struct SnapshotEntry {
    uint64_t upTo { 0 }; // Offset of the first record that the state does not include
    std::string state;   // FleetState::serialize()
};

using LogEntry
    = std::variant<EditEntry, JoinEntry, LeaveEntry, RevokeEntry, OwnershipEntry, ClaimEntry, ReleaseEntry, SnapshotEntry>;

// One append: entries that its writer grouped.
struct LogRecord {
    std::string writer;      // Member that appended it
    uint64_t sequence { 0 }; // Counts the writer's appends from 1; a repeated one is a duplicate
    std::vector<LogEntry> entries;
    uint32_t skipped { 0 }; // Entries of unknown type, left out by the parser
};

// One record as the log service returns it.
struct StoredRecord {
    uint64_t offset { 0 };
    int64_t timeMs { 0 }; // The log service's time of the append
    std::string bytes;
};

std::string formatRecord(const LogRecord&);
// BadRequest when the bytes are not a record; entries of an unknown type are counted, not failed.
Result<LogRecord> parseRecord(std::string_view);

} // namespace shallot
