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

// A daemon joins, or replaces its witnesses.
struct JoinEntry {
    std::string member; // Unique for each start of a process
    std::string zone;
    std::string address;                // "IP:port" of the peer link
    std::vector<std::string> witnesses; // Members of which a majority can revoke this one
};

// A daemon leaves; written by the daemon itself. Final.
struct LeaveEntry {
    std::string member;
};

// Ends the membership of a daemon that seems dead, so that others can take over its partitions. Valid only with the votes of a
// majority of its witnesses.
struct RevokeEntry {
    std::string member;
    uint64_t joinOffset { 0 };      // Join entry whose witnesses voted
    std::vector<std::string> votes; // Witnesses that voted; they no longer renew the member's lease
};

// Claims, resizes or transfers one partition of a zone's share of all plans.
struct OwnershipEntry {
    std::string zone;
    uint32_t partition { 0 };
    uint64_t expectedEpoch { 0 }; // Epoch of the ownership to replace; a mismatch voids the entry
    std::string owner;
    uint32_t fractionPpm { 0 };   // Millionths of each plan's rate and burst
    bool cleanTransfer { false }; // The writer was the owner, past any takeover wait, and has stopped lending
};

// Claims an idempotency key before a non-idempotent request runs. The first claim of a key wins.
struct ClaimEntry {
    std::string organisation;
    std::string key;         // The caller's Idempotency-Key
    uint64_t fingerprint {}; // Hash of the request, to detect reuse of the key for another request
    std::string holder;      // Member that runs the request and caches its response
};

// The claim's holder reports that the request did not run, which frees the key.
struct ReleaseEntry {
    std::string organisation;
    std::string key;
    std::string holder;
};

// The whole replicated state, appended before old records expire.
struct SnapshotEntry {
    uint64_t upTo { 0 }; // First offset that the state does not include
    std::string state;   // FleetState::serialize()
};

using LogEntry
    = std::variant<EditEntry, JoinEntry, LeaveEntry, RevokeEntry, OwnershipEntry, ClaimEntry, ReleaseEntry, SnapshotEntry>;

// The entries of one append.
struct LogRecord {
    std::string writer;      // Member that appended it
    uint64_t sequence { 0 }; // Number of the writer's append, from 1; a repeated one is a duplicate
    std::vector<LogEntry> entries;
    uint32_t skipped { 0 }; // Number of entries of unknown type
};

// One record as the log service returns it.
struct StoredRecord {
    uint64_t offset { 0 };
    int64_t timeMs { 0 }; // Time of the append by the log service's clock
    std::string bytes;
};

std::string formatRecord(const LogRecord&);
// Fails with BadRequest when the bytes are not a valid record. Entries of unknown type are counted in `skipped`.
Result<LogRecord> parseRecord(std::string_view);

} // namespace shallot
