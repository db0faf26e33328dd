#pragma once

#include "log/LogEntry.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace shallot {

// The claim in force for one idempotency key. See ClaimEntry.
struct Claim {
    std::string holder;
    uint64_t fingerprint { 0 };
    uint64_t offset { 0 };
};

// Claims of idempotency keys, computed from the log. For each organisation and key the first claim wins, until it is released or
// has expired.
class ClaimTable {
public:
    void apply(uint64_t offset, int64_t timeMs, const ClaimEntry&);
    void apply(const ReleaseEntry&);

    const Claim* find(const std::string& organisation, const std::string& key) const;
    size_t size() const { return m_claims.size(); }

    std::string serialize() const;
    bool restore(std::string_view);

private:
    struct AgedClaim {
        int64_t timeMs { 0 };
        std::string name;
        uint64_t offset { 0 };
    };

    // Key of m_claims, unique for each organisation and idempotency key.
    static std::string compositeKey(const std::string& organisation, const std::string& key);
    void expire(int64_t timeMs);

    std::unordered_map<std::string, Claim> m_claims;
    std::deque<AgedClaim> m_byAge; // Oldest first
};

} // namespace shallot
