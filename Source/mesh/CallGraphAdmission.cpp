#include "mesh/CallGraphAdmission.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto levelLifetime = 1s;       // As of a report of pressure
constexpr auto outcomeLifetime = 3s;     // Some requests below the level are admitted in any such time
constexpr double levelWeight = 0.2;      // Of the newest report; the backend servers of a service have levels of their own
constexpr double outcomeWeight = 0.1;
constexpr double failingShare = 0.8;     // Of the runs, from which on refusing them is better than trying
constexpr unsigned refusedPerProbe = 19; // One in twenty is admitted

} // namespace

void CallGraphAdmission::recordLevel(const std::string& route, double level, TimePoint now)
{
    if (level <= 0 && !m_flows.contains(route))
        return;
    auto& flow = m_flows[route];
    const bool stale = now - flow.reportedAt > levelLifetime;
    flow.level = stale ? level : flow.level + levelWeight * (level - flow.level);
    flow.reportedAt = now;
}

double CallGraphAdmission::level(const std::string& route, TimePoint now) const
{
    const auto found = m_flows.find(route);
    return found == m_flows.end() || now - found->second.reportedAt > levelLifetime ? 0 : found->second.level;
}

bool CallGraphAdmission::admits(const std::string& route, double score, TimePoint now)
{
    if (score >= level(route, now))
        return true;
    auto& flow = m_flows.at(route);
    const bool mostlyFails = flow.failing > failingShare && now - flow.endedAt < outcomeLifetime;
    if (!mostlyFails || ++flow.refused > refusedPerProbe) {
        flow.refused = 0;
        return true;
    }
    return false;
}

void CallGraphAdmission::recordEndBelowLevel(const std::string& route, bool nestedCallFailed, TimePoint now)
{
    auto& flow = m_flows[route];
    if (now - flow.endedAt > outcomeLifetime)
        flow.failing = 0;
    flow.failing += outcomeWeight * ((nestedCallFailed ? 1 : 0) - flow.failing);
    flow.endedAt = now;
}

} // namespace shallot
