#include "policy/CrashFingerprints.h"

#include "core/Digest.h"
#include "policy/PolicySettings.h"

namespace shallot {

namespace {

constexpr size_t maximumFingerprints = 10'000;

} // namespace

void CrashFingerprints::recordCrash(std::span<const uint64_t> inFlight, TimePoint now)
{
    for (const auto fingerprint : inFlight) {
        if (m_counts.size() >= maximumFingerprints && !m_counts.contains(fingerprint))
            continue;
        auto& entry = m_counts[fingerprint][""];
        if (entry.crashes < UINT8_MAX)
            ++entry.crashes;
        entry.lastCrash = now;
    }
}

void CrashFingerprints::recordSuccess(uint64_t fingerprint)
{
    const auto found = m_counts.find(fingerprint);
    if (found == m_counts.end())
        return;
    found->second.erase("");
    if (found->second.empty())
        m_counts.erase(found);
}

void CrashFingerprints::mergeReport(const std::string& member, const CrashCount& count, TimePoint now)
{
    if (m_counts.size() >= maximumFingerprints && !m_counts.contains(count.fingerprint))
        return;
    m_counts[count.fingerprint][member] = { count.crashes, now - count.age };
}

bool CrashFingerprints::isRefused(uint64_t fingerprint, TimePoint now) const
{
    const auto found = m_counts.find(fingerprint);
    if (found == m_counts.end())
        return false;
    unsigned crashes = 0;
    for (const auto& [member, entry] : found->second) {
        if (now - entry.lastCrash < m_settings.crashRefusalDuration)
            crashes += entry.crashes;
    }
    return crashes >= m_settings.crashThreshold;
}

std::vector<CrashCount> CrashFingerprints::ownCounts(TimePoint now) const
{
    std::vector<CrashCount> counts;
    for (const auto& [fingerprint, members] : m_counts) {
        if (const auto own = members.find(""); own != members.end())
            counts.push_back({ fingerprint, own->second.crashes, now - own->second.lastCrash });
    }
    return counts;
}

void CrashFingerprints::expire(TimePoint now)
{
    for (auto& [fingerprint, members] : m_counts)
        std::erase_if(members, [&](const auto& item) { return now - item.second.lastCrash >= m_settings.crashRefusalDuration; });
    std::erase_if(m_counts, [](const auto& item) { return item.second.empty(); });
}

uint64_t requestFingerprint(
    std::string_view organisation, std::string_view method, std::string_view target, std::string_view body)
{
    return stableHash(body, stableHash(target, stableHash(method, stableHash(organisation))));
}

} // namespace shallot
