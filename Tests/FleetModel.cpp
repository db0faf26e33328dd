#include "FleetModel.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

// A member without a heartbeat for this long is reported dead; short, so that live members often are.
constexpr auto heartbeatTimeout = 400ms;
constexpr double rate = 90; // Of the organisation's plan, requests per second
constexpr double burst = 30;
constexpr const char* organisation = "school";

std::string zoneName(size_t zone)
{
    return std::string("zone-") + static_cast<char>('a' + zone);
}

} // namespace

FleetModel::FleetModel(uint32_t seed)
    : m_random(seed)
{
    m_daemons.resize(zoneCount * daemonsPerZone);
    for (size_t i = 0; i < m_daemons.size(); ++i)
        m_daemonSettings.push_back(std::make_unique<LimitSettings>());
    // Lenders reserve nothing, so that the fleet admits the full rate of the plan and any excess is detected.
    for (auto& settings : m_daemonSettings)
        settings->reserveFraction = 0;
    edit([](Configuration& configuration) {
        for (size_t zone = 0; zone < zoneCount; ++zone)
            configuration.zones[zoneName(zone)] = {};
        configuration.plans["plan"] = { rate, burst, {} };
        configuration.organisations[organisation] = { "plan", {} };
    });
    m_oracle = { rate, burst, burst, m_now };
    const auto daemons = static_cast<double>(m_daemons.size());
    m_staticShares.assign(m_daemons.size(), { rate / daemons, burst / daemons, burst / daemons, m_now });
    for (size_t i = 0; i < m_daemons.size(); ++i)
        startDaemon(i);
}

const char* FleetModel::nameOf(Fault fault)
{
    constexpr const char* names[]
        = { "None", "IsolateZone", "IsolateInstance", "IsolateFromLog", "HealAll", "LogDown", "LogUp", "LoseAcknowledgements",
              "LoseMessages", "DelayMessages", "Pause", "Resume", "Crash", "Leave", "SmallerPlan", "LargerPlan", "ShiftWeights" };
    return names[static_cast<int>(fault)];
}

void FleetModel::startDaemon(size_t index)
{
    auto& daemon = m_daemons[index];
    const size_t incarnation = daemon.incarnation + 1;
    daemon = {};
    daemon.incarnation = incarnation;
    daemon.zone = index / daemonsPerZone;
    daemon.member = "node" + std::to_string(index) + "." + std::to_string(incarnation);
    daemon.clockOffset = Duration(m_random() % 1'000'000'000);
    daemon.appends = std::make_unique<AppendQueue>(AppendSettings {}, daemon.member);
    daemon.limits = std::make_unique<LimitSystem>(*m_daemonSettings[index], daemon.member, zoneName(daemon.zone), "address",
        LimitSystem::Callbacks {
            [this, index](const LoanRequestBatch& batch) {
                const auto target = indexOf(batch.lender);
                if (target >= m_daemons.size())
                    return;
                send(index, target, [this, index, target, batch](ModelDaemon& lender) {
                    const auto loans = lender.limits->onRequests(m_daemons[index].member, batch.requests, clockOf(lender));
                    send(target, index, [batch, loans, this](ModelDaemon& borrower) {
                        borrower.limits->onLoans(batch.lender, batch.sequence, loans, clockOf(borrower));
                    });
                });
            },
            [] {},
            [this, index](const std::string& member) { return seemsAlive(m_daemons[index], member); },
        });
}

size_t FleetModel::indexOf(const std::string& member) const
{
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].member == member && m_daemons[i].alive)
            return i;
    }
    return m_daemons.size();
}

FleetModel::ModelDaemon* FleetModel::findDaemon(const std::string& member)
{
    const auto index = indexOf(member);
    return index < m_daemons.size() ? &m_daemons[index] : nullptr;
}

bool FleetModel::canReach(const ModelDaemon& a, const ModelDaemon& b) const
{
    if (&a == &b)
        return true;
    if (!a.alive || !b.alive)
        return false;
    const bool sameZone = a.zone == b.zone;
    // With `isolatedFromLog` set too, the whole zone is isolated and its members still reach each other. With `isolated` alone,
    // the daemon reaches no other.
    const bool zoneIsolatedA = a.isolated && a.isolatedFromLog;
    const bool zoneIsolatedB = b.isolated && b.isolatedFromLog;
    if (sameZone)
        return (!a.isolated || zoneIsolatedA) && (!b.isolated || zoneIsolatedB);
    return !a.isolated && !b.isolated;
}

bool FleetModel::canReachLog(const ModelDaemon& daemon) const
{
    return daemon.alive && !daemon.isolated && !daemon.isolatedFromLog;
}

bool FleetModel::seemsAlive(const ModelDaemon& daemon, const std::string& member) const
{
    if (member == daemon.member)
        return true;
    const auto found = daemon.lastHeartbeat.find(member);
    return found != daemon.lastHeartbeat.end() && m_now + daemon.clockOffset - found->second < heartbeatTimeout;
}

void FleetModel::send(size_t from, size_t to, std::function<void(ModelDaemon&)> deliver)
{
    if (!canReach(m_daemons[from], m_daemons[to]) || (m_lossy && m_random() % 3 == 0))
        return;
    const auto delay = m_slow ? Duration(m_random() % 1'000'000) : Duration(200 + m_random() % 1000);
    m_messages.push({ m_now + delay, m_nextOrder++, from, to, m_daemons[to].incarnation, std::move(deliver) });
}

void FleetModel::edit(const std::function<void(Configuration&)>& change)
{
    auto wanted = m_referenceState.configuration().configuration();
    change(wanted);
    ConfigurationEdit edit { m_referenceState.configuration().revision(), "operator", "", 0,
        difference(m_referenceState.configuration().configuration(), wanted) };
    LogRecord record;
    record.writer = "operator";
    record.sequence = ++m_editSequence;
    record.entries.emplace_back(EditEntry { edit });
    m_log.append(formatRecord(record), m_now.time_since_epoch().count() / 1000);
}

void FleetModel::inject(Fault fault, size_t target)
{
    auto& daemon = m_daemons[target % m_daemons.size()];
    const size_t zone = target % zoneCount;
    switch (fault) {
    case Fault::IsolateZone:
        for (auto& member : m_daemons) {
            if (member.zone == zone)
                member.isolated = member.isolatedFromLog = true;
        }
        break;
    case Fault::IsolateInstance:
        daemon.isolated = true;
        daemon.isolatedFromLog = false;
        break;
    case Fault::IsolateFromLog:
        daemon.isolatedFromLog = true;
        break;
    case Fault::HealAll:
        for (auto& member : m_daemons)
            member.isolated = member.isolatedFromLog = false;
        m_lossy = m_slow = false;
        m_log.faults() = {};
        break;
    case Fault::LogDown:
        m_log.faults().down = true;
        break;
    case Fault::LogUp:
        m_log.faults() = {};
        break;
    case Fault::LoseAcknowledgements:
        m_log.faults().loseAcknowledgements = true;
        break;
    case Fault::LoseMessages:
        m_lossy = true;
        break;
    case Fault::DelayMessages:
        m_slow = true;
        break;
    case Fault::Pause:
        daemon.paused = true;
        break;
    case Fault::Resume:
        for (auto& member : m_daemons)
            member.paused = false;
        break;
    case Fault::Crash:
        daemon.alive = false;
        m_restarts[target % m_daemons.size()] = m_now + 2s;
        break;
    case Fault::Leave: {
        if (!daemon.alive || daemon.leaving || daemon.paused)
            break;
        std::vector<std::string> successors;
        for (const auto& member : m_daemons) {
            if (member.zone == daemon.zone && member.alive && seemsAlive(daemon, member.member))
                successors.push_back(member.member);
        }
        for (auto& entry : daemon.limits->leave(daemon.fleetState, successors, clockOf(daemon))) {
            ++daemon.openAppends;
            daemon.appends->push(
                std::move(entry), clockOf(daemon) + 3s, [&daemon](const Result<uint64_t>&) { --daemon.openAppends; });
        }
        daemon.leaving = true;
        m_restarts[target % m_daemons.size()] = m_now + 4s;
        break;
    }
    case Fault::SmallerPlan:
        edit([](Configuration& configuration) { configuration.plans["plan"] = { rate / 3, burst / 3, {} }; });
        break;
    case Fault::LargerPlan:
        edit([](Configuration& configuration) { configuration.plans["plan"] = { rate, burst, {} }; });
        break;
    case Fault::ShiftWeights:
        edit([target](Configuration& configuration) {
            for (size_t i = 0; i < zoneCount; ++i)
                configuration.zones[zoneName(i)] = { static_cast<uint32_t>(1 + (target + i) % 4) };
        });
        break;
    case Fault::None:
    case Fault::Count:
        break;
    }
}

void FleetModel::run(Duration duration)
{
    for (const auto end = m_now + duration; m_now < end; m_now += m_step) {
        for (const auto& record : m_log.read(m_referenceState.nextOffset(), 1000))
            m_referenceState.apply(record);
        for (auto restart = m_restarts.begin(); restart != m_restarts.end();) {
            if (restart->second > m_now) {
                ++restart;
                continue;
            }
            m_daemons[restart->first].alive = false;
            startDaemon(restart->first);
            restart = m_restarts.erase(restart);
        }
        while (!m_messages.empty() && m_messages.top().due <= m_now) {
            const auto message = m_messages.top();
            m_messages.pop();
            auto& daemon = m_daemons[message.to];
            if (!daemon.alive || daemon.incarnation != message.incarnation || !canReach(m_daemons[message.from], daemon))
                continue;
            if (daemon.paused) {
                // The message stays in the socket buffer until the process resumes.
                m_messages.push(
                    { m_now + m_step, m_nextOrder++, message.from, message.to, message.incarnation, message.deliver });
                continue;
            }
            message.deliver(daemon);
        }
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i].alive && !m_daemons[i].paused)
                tickDaemon(i);
        }
    }
}

void FleetModel::tickLog(ModelDaemon& daemon)
{
    if (!canReachLog(daemon) || m_log.faults().down)
        return;
    const auto readStart = clockOf(daemon);
    for (const auto& record : m_log.read(daemon.fleetState.nextOffset(), 1000))
        daemon.fleetState.apply(record);
    for (const auto& applied : daemon.fleetState.takeApplied())
        daemon.appends->onApplied(applied);
    if (daemon.fleetState.nextOffset() >= m_log.next()) {
        daemon.confirmedAt = readStart;
        daemon.appends->onTailRead(readStart, daemon.fleetState);
    }
}

void FleetModel::tickDaemon(size_t index)
{
    auto& daemon = m_daemons[index];
    const auto now = clockOf(daemon);
    const bool logTurn = (m_now.time_since_epoch() / 1ms) % 100 == static_cast<int64_t>(index) * 10;
    if (logTurn) {
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (i != index) {
                const auto member = daemon.member;
                send(index, i, [this, member](ModelDaemon& other) { other.lastHeartbeat[member] = clockOf(other); });
            }
        }
        tickLog(daemon);
    }
    if (auto bytes = daemon.appends->takeAppend(now)) {
        const bool reachable = canReachLog(daemon);
        const auto outcome
            = reachable ? m_log.append(*bytes, m_now.time_since_epoch().count() / 1000) : LogStore::AppendOutcome::Refused;
        if (outcome == LogStore::AppendOutcome::Stored)
            daemon.appends->onAcknowledged();
        else
            daemon.appends->onFailed(now);
    }
    daemon.appends->tick(now);
    if (daemon.fleetState.configuration().revision() != daemon.indexedRevision) {
        daemon.indexedRevision = daemon.fleetState.configuration().revision();
        daemon.index = ConfigurationIndex(daemon.fleetState.configuration().configuration());
    }
    const auto* self = daemon.fleetState.membership().find(daemon.member);
    if (self && self->revoked) {
        // A revoked daemon ends and is replaced.
        m_restarts.try_emplace(index, m_now + 500ms);
    }
    OwnershipView view { daemon.fleetState, daemon.confirmedAt, {},
        [this, &daemon](const std::string& member) { return !seemsAlive(daemon, member); } };
    for (const auto& member : m_daemons) {
        if (member.zone == daemon.zone && seemsAlive(daemon, member.member))
            view.aliveInZone.push_back(member.member);
    }
    applyActions(index, daemon.limits->tick(view, daemon.index, now));
    runCallers(daemon);
}

void FleetModel::applyActions(size_t index, const OwnershipActions& actions)
{
    auto& daemon = m_daemons[index];
    const auto now = clockOf(daemon);
    for (const auto& witness : actions.leaseRenewals) {
        const auto target = indexOf(witness);
        if (target >= m_daemons.size())
            continue;
        send(index, target, [this, index, target, now, witness](ModelDaemon& other) {
            if (!other.limits->ownership().renewsLeaseOf(m_daemons[index].member))
                return;
            send(target, index, [witness, now](ModelDaemon& self) { self.limits->ownership().onLeaseRenewed(witness, now); });
        });
    }
    for (const auto& [witness, member] : actions.voteRequests) {
        const auto target = indexOf(witness);
        const auto* dead = daemon.fleetState.membership().find(member);
        if (target >= m_daemons.size() || !dead)
            continue;
        send(index, target,
            [this, index, target, witness = witness, member = member, offset = dead->joinOffset](ModelDaemon& other) {
                if (!other.limits->ownership().voteToRevoke(member, !seemsAlive(other, member)))
                    return;
                send(target, index, [witness, member, offset](ModelDaemon& self) {
                    self.limits->ownership().onRevocationVote(witness, member, offset);
                });
            });
    }
    for (const auto& entry : actions.appends) {
        ++daemon.openAppends;
        daemon.appends->push(entry, now + 10s, [&daemon](const Result<uint64_t>& result) {
            const bool neverSent = !result && result.error().kind == ErrorKind::LogUnavailable;
            if (!--daemon.openAppends)
                daemon.limits->ownership().onAppendsCompleted(neverSent);
        });
    }
}

// Callers send a multiple of the organisation's rate; waiting requests are retried in the next step.
void FleetModel::runCallers(ModelDaemon& daemon)
{
    if (m_firstZoneOnly && daemon.zone)
        return;
    const double senders = static_cast<double>(m_firstZoneOnly ? daemonsPerZone : m_daemons.size());
    const double arrivalRate = m_demand * rate / senders;
    daemon.arrivalCredit += arrivalRate * toSeconds(m_step) * (0.5 + static_cast<double>(m_random() % 1000) / 1000);
    for (; daemon.arrivalCredit >= 1; daemon.arrivalCredit -= 1) {
        daemon.waiting.push_back(m_now);
        ++m_arrivals;
        m_staticRefusals += m_staticShares[static_cast<size_t>(&daemon - m_daemons.data())].tryTake(m_now) ? 0 : 1;
    }
    const auto holdTime = m_settings.holdTime;
    std::erase_if(daemon.waiting, [&](TimePoint arrival) {
        const auto admission = daemon.limits->admit(organisation, clockOf(daemon), arrival == m_now);
        if (admission == Admission::Admitted) {
            countAdmission(daemon);
            return true;
        }
        const bool giveUp = admission != Admission::Wait || m_now - arrival >= holdTime;
        m_refused += giveUp ? 1 : 0;
        return giveUp;
    });
    daemon.limits->setWaiting(organisation, static_cast<uint32_t>(daemon.waiting.size()));
    daemon.limits->exchangeLoans(clockOf(daemon));
}

void FleetModel::countAdmission(ModelDaemon& daemon)
{
    // A daemon applies a reduced plan once it has read it from the log. The oracle therefore allows the largest plan that any
    // live daemon still has, which includes daemons of a zone that is isolated from the log.
    double largestRate = 0;
    double largestBurst = 0;
    for (const auto& member : m_daemons) {
        const auto& plans = member.fleetState.configuration().configuration().plans;
        const auto plan = plans.find("plan");
        if (!member.alive || plan == plans.end())
            continue;
        largestRate = std::max(largestRate, plan->second.rate);
        largestBurst = std::max(largestBurst, plan->second.burst);
    }
    const bool shrinks = largestRate < m_oracle.rate;
    m_oracle.refill(m_now);
    if (shrinks && m_shrunkAt == TimePoint())
        m_shrunkAt = m_now;
    if (!shrinks)
        m_shrunkAt = TimePoint();
    // Loans granted under the larger plan have then expired.
    if (!shrinks || m_now - m_shrunkAt > lenderLoanDuration(m_settings)) {
        m_oracle.rate = largestRate;
        m_oracle.burst = largestBurst;
        m_oracle.tokens = std::min(m_oracle.tokens, largestBurst);
    }
    ++m_admitted;
    ++m_admittedInZone[daemon.zone];
    if (m_oracle.tokens < 1 - 1e-6)
        ++m_overruns;
    m_oracle.tokens -= 1;
}

size_t FleetModel::ownerInZone(size_t zone) const
{
    const auto* ownership = m_referenceState.ownerships().find({ zoneName(zone), partitionOfOrganisation(organisation) });
    return ownership ? indexOf(ownership->owner) : m_daemons.size();
}

void FleetModel::clearCounts()
{
    m_admitted = m_refused = m_arrivals = m_staticRefusals = 0;
    std::fill(std::begin(m_admittedInZone), std::end(m_admittedInZone), 0);
    m_allowed = rate * 10;
}

void FleetModel::setDemand(double demand, bool firstZoneOnly)
{
    m_demand = demand;
    m_firstZoneOnly = firstZoneOnly;
}

void FleetModel::useDefaultSettings()
{
    for (auto& settings : m_daemonSettings)
        *settings = LimitSettings();
}

double FleetModel::staticShareRefusedRatio() const
{
    return m_arrivals ? static_cast<double>(m_staticRefusals) / static_cast<double>(m_arrivals) : 0;
}

bool FleetModel::allPartitionsOwnedByLiveMembers() const
{
    size_t owned = 0;
    for (const auto& [id, ownership] : m_referenceState.ownerships().partitions())
        owned += indexOf(ownership.owner) < m_daemons.size() ? 1 : 0;
    return owned == zoneCount * partitionsPerZone;
}

} // namespace shallot
