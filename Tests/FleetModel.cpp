#include "FleetModel.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto heartbeatLapse
    = 400ms;                // Without word for this long a member seems dead; hasty, so that the living are often judged
constexpr double rate = 90; // Of the organisation's plan, requests a second
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
    m_nodes.resize(zoneCount * daemonsPerZone);
    for (size_t i = 0; i < m_nodes.size(); ++i)
        m_nodeSettings.push_back(std::make_unique<LimitSettings>());
    // Lenders keep nothing back, so that the fleet runs at its plan and every excess shows.
    for (auto& settings : m_nodeSettings)
        settings->keptPart = 0;
    edit([](Configuration& configuration) {
        for (size_t zone = 0; zone < zoneCount; ++zone)
            configuration.zones[zoneName(zone)] = {};
        configuration.plans["plan"] = { rate, burst, {} };
        configuration.organisations[organisation] = { "plan", {} };
    });
    m_oracle = { rate, burst, burst, m_now };
    const auto daemons = static_cast<double>(m_nodes.size());
    m_staticShares.assign(m_nodes.size(), { rate / daemons, burst / daemons, burst / daemons, m_now });
    for (size_t i = 0; i < m_nodes.size(); ++i)
        startNode(i);
}

const char* FleetModel::nameOf(Fault fault)
{
    constexpr const char* names[]
        = { "None", "CutZone", "CutInstance", "CutLog", "HealAll", "LogDown", "LogUp", "LoseAcknowledgements", "LoseMessages",
              "DelayMessages", "Pause", "Resume", "Crash", "Leave", "SmallerPlan", "LargerPlan", "ShiftWeights" };
    return names[static_cast<int>(fault)];
}

void FleetModel::startNode(size_t index)
{
    auto& node = m_nodes[index];
    const size_t incarnation = node.incarnation + 1;
    node = {};
    node.incarnation = incarnation;
    node.zone = index / daemonsPerZone;
    node.member = "node" + std::to_string(index) + "." + std::to_string(incarnation);
    node.clockOffset = Duration(m_random() % 1'000'000'000);
    node.appends = std::make_unique<AppendQueue>(AppendSettings {}, node.member);
    node.limits = std::make_unique<LimitSystem>(*m_nodeSettings[index], node.member, zoneName(node.zone), "address",
        LimitSystem::Callbacks {
            [this, index](const LoanRequestBatch& batch) {
                const auto target = indexOf(batch.lender);
                if (target >= m_nodes.size())
                    return;
                send(index, target, [this, index, target, batch](Node& lender) {
                    const auto loans = lender.limits->onRequests(m_nodes[index].member, batch.requests, clockOf(lender));
                    send(target, index, [batch, loans, this](Node& borrower) {
                        borrower.limits->onLoans(batch.lender, batch.sequence, loans, clockOf(borrower));
                    });
                });
            },
            [] {},
            [this, index](const std::string& member) { return seemsAlive(m_nodes[index], member); },
        });
}

size_t FleetModel::indexOf(const std::string& member) const
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].member == member && m_nodes[i].alive)
            return i;
    }
    return m_nodes.size();
}

FleetModel::Node* FleetModel::findNode(const std::string& member)
{
    const auto index = indexOf(member);
    return index < m_nodes.size() ? &m_nodes[index] : nullptr;
}

bool FleetModel::canReach(const Node& a, const Node& b) const
{
    if (&a == &b)
        return true;
    if (!a.alive || !b.alive)
        return false;
    const bool sameZone = a.zone == b.zone;
    // `cut` on a whole zone keeps its members together; `cut` on one daemon separates it from all.
    const bool zoneCutA = a.cut && a.cutFromLog;
    const bool zoneCutB = b.cut && b.cutFromLog;
    if (sameZone)
        return (!a.cut || zoneCutA) && (!b.cut || zoneCutB);
    return !a.cut && !b.cut;
}

bool FleetModel::canReachLog(const Node& node) const
{
    return node.alive && !node.cut && !node.cutFromLog;
}

bool FleetModel::seemsAlive(const Node& node, const std::string& member) const
{
    if (member == node.member)
        return true;
    const auto found = node.heardAt.find(member);
    return found != node.heardAt.end() && m_now + node.clockOffset - found->second < heartbeatLapse;
}

void FleetModel::send(size_t from, size_t to, std::function<void(Node&)> deliver)
{
    if (!canReach(m_nodes[from], m_nodes[to]) || (m_lossy && m_random() % 3 == 0))
        return;
    const auto delay = m_slow ? Duration(m_random() % 1'000'000) : Duration(200 + m_random() % 1000);
    m_messages.push({ m_now + delay, m_nextOrder++, from, to, m_nodes[to].incarnation, std::move(deliver) });
}

void FleetModel::edit(const std::function<void(Configuration&)>& change)
{
    auto wanted = m_truth.configuration().configuration();
    change(wanted);
    ConfigurationEdit edit { m_truth.configuration().revision(), "operator", "", 0,
        difference(m_truth.configuration().configuration(), wanted) };
    LogRecord record;
    record.writer = "operator";
    record.sequence = ++m_editSequence;
    record.entries.emplace_back(EditEntry { edit });
    m_log.append(formatRecord(record), m_now.time_since_epoch().count() / 1000);
}

void FleetModel::inject(Fault fault, size_t target)
{
    auto& node = m_nodes[target % m_nodes.size()];
    const size_t zone = target % zoneCount;
    switch (fault) {
    case Fault::IsolateZone:
        for (auto& member : m_nodes) {
            if (member.zone == zone)
                member.cut = member.cutFromLog = true;
        }
        break;
    case Fault::IsolateInstance:
        node.cut = true;
        node.cutFromLog = false;
        break;
    case Fault::IsolateFromLog:
        node.cutFromLog = true;
        break;
    case Fault::HealAll:
        for (auto& member : m_nodes)
            member.cut = member.cutFromLog = false;
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
        node.paused = true;
        break;
    case Fault::Resume:
        for (auto& member : m_nodes)
            member.paused = false;
        break;
    case Fault::Crash:
        node.alive = false;
        m_restarts[target % m_nodes.size()] = m_now + 2s;
        break;
    case Fault::Leave: {
        if (!node.alive || node.leaving || node.paused)
            break;
        std::vector<std::string> successors;
        for (const auto& member : m_nodes) {
            if (member.zone == node.zone && member.alive && seemsAlive(node, member.member))
                successors.push_back(member.member);
        }
        for (auto& entry : node.limits->leave(node.fold, successors, clockOf(node))) {
            ++node.openAppends;
            node.appends->push(std::move(entry), clockOf(node) + 3s, [&node](const Result<uint64_t>&) { --node.openAppends; });
        }
        node.leaving = true;
        m_restarts[target % m_nodes.size()] = m_now + 4s;
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
        for (const auto& record : m_log.read(m_truth.nextOffset(), 1000))
            m_truth.apply(record);
        for (auto restart = m_restarts.begin(); restart != m_restarts.end();) {
            if (restart->second > m_now) {
                ++restart;
                continue;
            }
            m_nodes[restart->first].alive = false;
            startNode(restart->first);
            restart = m_restarts.erase(restart);
        }
        while (!m_messages.empty() && m_messages.top().due <= m_now) {
            const auto message = m_messages.top();
            m_messages.pop();
            auto& node = m_nodes[message.to];
            if (!node.alive || node.incarnation != message.incarnation || !canReach(m_nodes[message.from], node))
                continue;
            if (node.paused) {
                // Waits in the socket until the process goes on.
                m_messages.push(
                    { m_now + m_step, m_nextOrder++, message.from, message.to, message.incarnation, message.deliver });
                continue;
            }
            message.deliver(node);
        }
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].alive && !m_nodes[i].paused)
                tickNode(i);
        }
    }
}

void FleetModel::tickLog(Node& node)
{
    if (!canReachLog(node) || m_log.faults().down)
        return;
    const auto readStart = clockOf(node);
    for (const auto& record : m_log.read(node.fold.nextOffset(), 1000))
        node.fold.apply(record);
    for (const auto& applied : node.fold.takeApplied())
        node.appends->onApplied(applied);
    if (node.fold.nextOffset() >= m_log.next()) {
        node.confirmedAt = readStart;
        node.appends->onTailRead(readStart, node.fold);
    }
}

void FleetModel::tickNode(size_t index)
{
    auto& node = m_nodes[index];
    const auto now = clockOf(node);
    const bool logTurn = (m_now.time_since_epoch() / 1ms) % 100 == static_cast<int64_t>(index) * 10;
    if (logTurn) {
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            if (i != index) {
                const auto member = node.member;
                send(index, i, [this, member](Node& other) { other.heardAt[member] = clockOf(other); });
            }
        }
        tickLog(node);
    }
    if (auto bytes = node.appends->takeAppend(now)) {
        const bool reachable = canReachLog(node);
        const auto outcome
            = reachable ? m_log.append(*bytes, m_now.time_since_epoch().count() / 1000) : LogStore::AppendOutcome::Refused;
        if (outcome == LogStore::AppendOutcome::Stored)
            node.appends->onAcknowledged();
        else
            node.appends->onFailed(now);
    }
    node.appends->tick(now);
    if (node.fold.configuration().revision() != node.indexedRevision) {
        node.indexedRevision = node.fold.configuration().revision();
        node.index = ConfigurationIndex(node.fold.configuration().configuration());
    }
    const auto* self = node.fold.membership().find(node.member);
    if (self && self->revoked) {
        // A daemon that was declared dead leaves and is replaced.
        m_restarts.try_emplace(index, m_now + 500ms);
    }
    OwnershipView view { node.fold, node.confirmedAt, {},
        [this, &node](const std::string& member) { return !seemsAlive(node, member); } };
    for (const auto& member : m_nodes) {
        if (member.zone == node.zone && seemsAlive(node, member.member))
            view.aliveInZone.push_back(member.member);
    }
    applyActions(index, node.limits->tick(view, node.index, now));
    callers(node);
}

void FleetModel::applyActions(size_t index, const OwnershipActions& actions)
{
    auto& node = m_nodes[index];
    const auto now = clockOf(node);
    for (const auto& witness : actions.leaseRenewals) {
        const auto target = indexOf(witness);
        if (target >= m_nodes.size())
            continue;
        send(index, target, [this, index, target, now, witness](Node& other) {
            if (!other.limits->ownership().renewsLeaseOf(m_nodes[index].member))
                return;
            send(target, index, [witness, now](Node& self) { self.limits->ownership().onLeaseRenewed(witness, now); });
        });
    }
    for (const auto& [witness, member] : actions.voteRequests) {
        const auto target = indexOf(witness);
        const auto* dead = node.fold.membership().find(member);
        if (target >= m_nodes.size() || !dead)
            continue;
        send(index, target, [this, index, target, witness = witness, member = member, offset = dead->joinOffset](Node& other) {
            if (!other.limits->ownership().voteToRevoke(member, !seemsAlive(other, member)))
                return;
            send(target, index,
                [witness, member, offset](Node& self) { self.limits->ownership().onRevocationVote(witness, member, offset); });
        });
    }
    for (const auto& entry : actions.appends) {
        ++node.openAppends;
        node.appends->push(entry, now + 10s, [&node](const Result<uint64_t>& result) {
            const bool neverSent = !result && result.error().kind == ErrorKind::LogUnavailable;
            if (!--node.openAppends)
                node.limits->ownership().onAppendsCompleted(neverSent);
        });
    }
}

// Callers send a multiple of the organisation's rate; what has to wait asks again in the next step.
void FleetModel::callers(Node& node)
{
    if (m_firstZoneOnly && node.zone)
        return;
    const double senders = static_cast<double>(m_firstZoneOnly ? daemonsPerZone : m_nodes.size());
    const double perNode = m_demand * rate / senders;
    node.due += perNode * toSeconds(m_step) * (0.5 + static_cast<double>(m_random() % 1000) / 1000);
    for (; node.due >= 1; node.due -= 1) {
        node.waiting.push_back(m_now);
        ++m_arrivals;
        m_staticRefusals += m_staticShares[static_cast<size_t>(&node - m_nodes.data())].tryTake(m_now) ? 0 : 1;
    }
    const auto holdTime = m_settings.holdTime;
    std::erase_if(node.waiting, [&](TimePoint arrival) {
        const auto admission = node.limits->admit(organisation, clockOf(node), arrival == m_now);
        if (admission == Admission::Admitted) {
            countAdmission(node);
            return true;
        }
        const bool giveUp = admission != Admission::Wait || m_now - arrival >= holdTime;
        m_refused += giveUp ? 1 : 0;
        return giveUp;
    });
    node.limits->setWaiting(organisation, static_cast<uint32_t>(node.waiting.size()));
    node.limits->exchangeLoans(clockOf(node));
}

void FleetModel::countAdmission(Node& node)
{
    // A shrunk plan is in force for a daemon once it has read it. Until the last reachable daemon has, and for as long as a
    // zone is cut off from the log, the oracle allows the largest plan that some living daemon still holds.
    double largestRate = 0;
    double largestBurst = 0;
    for (const auto& member : m_nodes) {
        const auto& plans = member.fold.configuration().configuration().plans;
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
    // Loans made under the larger plan are home after this long.
    if (!shrinks || m_now - m_shrunkAt > lenderLoanTime(m_settings)) {
        m_oracle.rate = largestRate;
        m_oracle.burst = largestBurst;
        m_oracle.tokens = std::min(m_oracle.tokens, largestBurst);
    }
    ++m_admitted;
    ++m_admittedInZone[node.zone];
    if (m_oracle.tokens < 1 - 1e-6)
        ++m_overruns;
    m_oracle.tokens -= 1;
}

size_t FleetModel::ownerInZone(size_t zone) const
{
    const auto* ownership = m_truth.ownerships().find({ zoneName(zone), partOfOrganisation(organisation) });
    return ownership ? indexOf(ownership->owner) : m_nodes.size();
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
    for (auto& settings : m_nodeSettings)
        *settings = LimitSettings();
}

double FleetModel::staticShareRefusedRatio() const
{
    return m_arrivals ? static_cast<double>(m_staticRefusals) / static_cast<double>(m_arrivals) : 0;
}

bool FleetModel::allPartsOwnedByTheLiving() const
{
    size_t owned = 0;
    for (const auto& [id, ownership] : m_truth.ownerships().partitions())
        owned += indexOf(ownership.owner) < m_nodes.size() ? 1 : 0;
    return owned == zoneCount * partsPerZone;
}

} // namespace shallot
