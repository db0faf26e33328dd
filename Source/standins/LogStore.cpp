#include "standins/LogStore.h"

namespace shallot {

LogStore::AppendOutcome LogStore::append(std::string bytes, int64_t timeMs)
{
    if (m_faults.down)
        return AppendOutcome::Refused;
    if (timeMs / 1000 != m_second) {
        m_second = timeMs / 1000;
        m_appendsThisSecond = 0;
    }
    if (++m_appendsThisSecond > m_faults.appendsPerSecond)
        return AppendOutcome::Refused;
    m_records.push_back({ next(), timeMs, std::move(bytes) });
    return m_faults.loseAcknowledgements ? AppendOutcome::Unacknowledged : AppendOutcome::Stored;
}

std::vector<StoredRecord> LogStore::read(uint64_t from, size_t maximum) const
{
    std::vector<StoredRecord> records;
    for (size_t i = from > m_first ? from - m_first : 0; i < m_records.size() && records.size() < maximum; ++i)
        records.push_back(m_records[i]);
    return records;
}

void LogStore::retain(size_t records)
{
    while (m_records.size() > records) {
        m_records.pop_front();
        ++m_first;
    }
}

} // namespace shallot
