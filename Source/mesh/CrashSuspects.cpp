#include "mesh/CrashSuspects.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shallot {

namespace {

constexpr size_t maximumSuspects = 20'000; // A few MB

// A request that was answered once does not crash each backend server: only successive crashes count for it.
uint32_t uncleared(const CrashSuspect& suspect)
{
    const auto successive = suspect.crashes > suspect.cleared ? suspect.crashes - suspect.cleared : 0;
    return suspect.cleared ? successive : std::max(successive, static_cast<uint32_t>(suspect.crashIDs.size()));
}

} // namespace

CrashSuspects::CrashSuspects(const MeshSettings& settings)
    : m_settings(settings)
{
}

bool CrashSuspects::isExpired(const CrashSuspect& suspect, std::chrono::sys_seconds now) const
{
    return now - suspect.recordedAt >= m_settings.crashSuspectLifetime;
}

CrashSuspects::Entry* CrashSuspects::findOrAdd(uint64_t fingerprint, std::chrono::sys_seconds now)
{
    if (const auto found = m_suspects.find(fingerprint); found != m_suspects.end()) {
        if (isExpired(found->second.suspect, now))
            found->second = { { fingerprint } };
        return &found->second;
    }
    if (m_suspects.size() >= maximumSuspects)
        std::erase_if(m_suspects, [&](const auto& item) { return isExpired(item.second.suspect, now); });
    if (m_suspects.size() >= maximumSuspects)
        return nullptr;
    return &m_suspects.emplace(fingerprint, Entry { { fingerprint } }).first->second;
}

// Returns whether the list changed. The smallest ones are kept, so that lists merge to the same in any order.
bool CrashSuspects::addCrashIDs(CrashSuspect& suspect, std::span<const uint64_t> ids) const
{
    auto& known = suspect.crashIDs;
    const auto former = known;
    known.insert(known.end(), ids.begin(), ids.end());
    std::sort(known.begin(), known.end());
    known.erase(std::unique(known.begin(), known.end()), known.end());
    known.resize(std::min<size_t>(known.size(), m_settings.crashThreshold));
    return known != former;
}

// A crash counts once for all runs that started before it was known. So a popular request that runs at several backend servers
// when all of them crash at once gets one count, while a caller that resends the culprit adds one with each crash. A request that
// its backend server had not answered lately is no popular one: for it each crash counts, also at the same time.
void CrashSuspects::recordCrash(std::span<const InterruptedRun> runs, std::chrono::sys_seconds now)
{
    for (const auto& run : runs) {
        auto* entry = findOrAdd(run.fingerprint, now);
        if (!entry)
            continue;
        entry->suspect.crashes = std::max(entry->suspect.crashes, run.knownCrashes + 1);
        if (run.crashID)
            addCrashIDs(entry->suspect, { &run.crashID, 1 });
        entry->suspect.recordedAt = now;
        entry->own = true;
        entry->changed = true;
        ++m_revision;
    }
}

bool CrashSuspects::recordAnswer(uint64_t fingerprint, std::chrono::sys_seconds now)
{
    const auto found = m_suspects.find(fingerprint);
    // A single crash is no reason to publish: most requests that it interrupted are innocent.
    if (found == m_suspects.end() || suspicion(fingerprint, now) + 1 < m_settings.crashThreshold)
        return false;
    found->second.suspect.cleared = found->second.suspect.crashes;
    found->second.suspect.recordedAt = now;
    found->second.own = true;
    found->second.changed = true;
    ++m_revision;
    return true;
}

void CrashSuspects::recordRefusal(uint64_t fingerprint, std::chrono::sys_seconds now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || now - found->second.suspect.recordedAt < m_settings.crashSuspectLifetime / 2)
        return;
    found->second.suspect.recordedAt = now;
    found->second.own = true;
    ++m_revision;
}

void CrashSuspects::mergeOne(const CrashSuspect& other, bool own, std::chrono::sys_seconds now)
{
    if (!other.crashes || isExpired(other, now))
        return;
    auto* entry = findOrAdd(other.fingerprint, now);
    if (!entry)
        return;
    auto& suspect = entry->suspect;
    const bool knowsMore = suspect.crashes > other.crashes || suspect.cleared > other.cleared
        || !std::includes(other.crashIDs.begin(), other.crashIDs.end(), suspect.crashIDs.begin(), suspect.crashIDs.end());
    const bool hasNewIDs = addCrashIDs(suspect, other.crashIDs);
    const bool isNews = hasNewIDs || other.crashes > suspect.crashes || other.cleared > suspect.cleared
        || other.recordedAt > suspect.recordedAt;
    if (!isNews)
        return;
    suspect.crashes = std::max(suspect.crashes, other.crashes);
    suspect.cleared = std::max(suspect.cleared, other.cleared);
    suspect.recordedAt = std::max(suspect.recordedAt, std::min(other.recordedAt, now)); // The other clock may be ahead
    // A daemon that restarts learns only what is published, so what this daemon alone knows stays in its own records.
    entry->own = own || (entry->own && knowsMore);
    if (own)
        ++m_revision;
}

void CrashSuspects::merge(std::span<const CrashSuspect> suspects, std::chrono::sys_seconds now)
{
    for (const auto& suspect : suspects)
        mergeOne(suspect, false, now);
}

void CrashSuspects::restore(std::span<const CrashSuspect> suspects, std::chrono::sys_seconds now)
{
    for (const auto& suspect : suspects)
        mergeOne(suspect, true, now);
}

std::vector<CrashSuspect> CrashSuspects::ownRecords(std::chrono::sys_seconds now) const
{
    std::vector<CrashSuspect> records;
    for (const auto& [fingerprint, entry] : m_suspects) {
        if (entry.own && !isExpired(entry.suspect, now))
            records.push_back(entry.suspect);
    }
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
        return std::tuple(b.crashes, b.recordedAt, b.fingerprint) < std::tuple(a.crashes, a.recordedAt, a.fingerprint);
    });
    if (records.size() > m_settings.maximumPublishedSuspects)
        records.resize(m_settings.maximumPublishedSuspects);
    return records;
}

std::vector<CrashSuspect> CrashSuspects::takeChanges(std::chrono::sys_seconds now)
{
    std::vector<CrashSuspect> changes;
    for (auto& [fingerprint, entry] : m_suspects) {
        if (std::exchange(entry.changed, false) && !isExpired(entry.suspect, now)
            && changes.size() < m_settings.maximumPublishedSuspects)
            changes.push_back(entry.suspect);
    }
    return changes;
}

uint32_t CrashSuspects::crashesOf(uint64_t fingerprint, std::chrono::sys_seconds now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() || isExpired(found->second.suspect, now) ? 0 : found->second.suspect.crashes;
}

uint32_t CrashSuspects::suspicion(uint64_t fingerprint, std::chrono::sys_seconds now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() || isExpired(found->second.suspect, now) ? 0 : uncleared(found->second.suspect);
}

bool CrashSuspects::isRefused(uint64_t fingerprint, std::chrono::sys_seconds now) const
{
    return suspicion(fingerprint, now) >= m_settings.crashThreshold;
}

bool CrashSuspects::isIsolated(uint64_t fingerprint, std::chrono::sys_seconds now) const
{
    return suspicion(fingerprint, now) + 1 == m_settings.crashThreshold;
}

Duration CrashSuspects::refusedFor(uint64_t fingerprint, std::chrono::sys_seconds now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return {};
    return std::max(Duration::zero(), Duration(found->second.suspect.recordedAt + m_settings.crashSuspectLifetime - now));
}

} // namespace shallot
