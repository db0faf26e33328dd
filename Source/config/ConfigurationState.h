#pragma once

#include "config/ConfigurationChange.h"

#include <deque>
#include <map>

namespace shallot {

class JSONWriter;

// One line of the audit trail.
struct AuditEntry {
    uint64_t revision { 0 }; // Log offset of the edit
    int64_t timeMs { 0 };    // The log service's time
    std::string author;
    std::string note;
    bool accepted { false };
    std::string outcome; // Why it was refused; empty when accepted
    std::string changes; // Before and after of each item, as JSON
};

// Folds edits in log order into the configuration. All readers decide alike, so races between operators have one winner.
class ConfigurationState {
public:
    // Accepts or voids the edit as a whole; the outcome also goes to the audit trail.
    Result<void> apply(uint64_t offset, int64_t timeMs, const ConfigurationEdit&);
    // What apply() would answer, without applying.
    Result<void> check(const ConfigurationEdit&) const;

    const Configuration& configuration() const { return m_configuration; }
    uint64_t revision() const { return m_revision; }
    const std::deque<AuditEntry>& history() const { return m_history; }

    // Adds the audit trail as the member "history".
    void writeHistory(JSONWriter&) const;
    std::string serialize() const;
    bool restore(std::string_view);

private:
    using ItemKey = std::pair<ConfigurationChange::List, std::string>;

    Result<Configuration> candidate(const ConfigurationEdit&) const;
    void recordOutcome(uint64_t offset, int64_t timeMs, const ConfigurationEdit&, const Result<Configuration>&);

    Configuration m_configuration;
    uint64_t m_revision { 0 };                   // Offset of the last accepted edit
    std::map<ItemKey, uint64_t> m_itemRevisions; // Last accepted change of each item, removed ones included
    std::deque<AuditEntry> m_history;            // Oldest first, bounded
};

} // namespace shallot
