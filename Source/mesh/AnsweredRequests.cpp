#include "mesh/AnsweredRequests.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr size_t entryCount = 4096; // 64 KB; the answers of half a minute at the busiest backend servers
constexpr Duration lifetime = 60s;  // Of an answer; a request that is answered less often is no popular one

} // namespace

AnsweredRequests::AnsweredRequests()
    : m_entries(entryCount)
{
}

void AnsweredRequests::record(uint64_t fingerprint, TimePoint now)
{
    m_entries[fingerprint % entryCount] = { fingerprint, now };
}

bool AnsweredRequests::contains(uint64_t fingerprint, TimePoint now) const
{
    const auto& entry = m_entries[fingerprint % entryCount];
    return entry.fingerprint == fingerprint && entry.answeredAt != TimePoint() && now - entry.answeredAt < lifetime;
}

} // namespace shallot
