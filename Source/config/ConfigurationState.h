#pragma once

#include "config/ConfigurationChange.h"

#include <deque>
#include <map>

namespace shallot {

class JSONWriter;

// An entry of the audit trail.
struct AuditEntry {
    uint64_t revision { 0 }; // Log offset of the edit
    int64_t timeMs { 0 };    // Time by the log service, in milliseconds since 1970
    std::string author;
    std::string note;
    bool accepted { false };
    std::string outcome; // Reason for the rejection; empty when accepted
    std::string changes; // Each item before and after the edit, as JSON
};

// Configuration that results from applying the edits in log order. Deterministic: all readers of the log accept the same edits,
// so exactly one of several conflicting edits takes effect.
class ConfigurationState {
public:
    // Applies or rejects the edit as a whole and adds the outcome to the audit trail. EditConflict when an item was changed after
    // the edit's base revision, EditInvalid when the edit is empty or the resulting configuration is invalid.
    Result<void> apply(uint64_t offset, int64_t timeMs, const ConfigurationEdit&);
    // Returns the result that apply() would return, without applying the edit.
    Result<void> check(const ConfigurationEdit&) const;

    const Configuration& configuration() const { return m_configuration; }
    uint64_t revision() const { return m_revision; }
    const std::deque<AuditEntry>& history() const { return m_history; }

    // Adds the audit trail to the current object as the member "history".
    void writeHistory(JSONWriter&) const;
    std::string serialize() const;
    bool restore(std::string_view);

private:
    using ItemKey = std::pair<ConfigurationChange::List, std::string>;

    Result<Configuration> candidate(const ConfigurationEdit&) const;
    void recordOutcome(uint64_t offset, int64_t timeMs, const ConfigurationEdit&, const Result<Configuration>&);

    Configuration m_configuration;
    uint64_t m_revision { 0 };                   // Log offset of the last accepted edit
    std::map<ItemKey, uint64_t> m_itemRevisions; // Last accepted change of each item, including removed items
    std::deque<AuditEntry> m_history;            // Oldest first, bounded
};

} // namespace shallot
