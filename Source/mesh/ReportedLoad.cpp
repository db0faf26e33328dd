#include "mesh/ReportedLoad.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr double usualPercent = 100;
constexpr auto logInterval = 60s;

} // namespace

void ReportedLoad::record(std::optional<uint32_t> workTimePercent, TimePoint now)
{
    if (!workTimePercent)
        return;
    m_pace = *workTimePercent / usualPercent;
    m_reportedAt = now;
}

bool ReportedLoad::recordMalformed(TimePoint now)
{
    ++m_malformedHeaders;
    if (m_loggedAt != TimePoint() && now - m_loggedAt < logInterval)
        return false;
    m_loggedAt = now;
    return true;
}

} // namespace shallot
