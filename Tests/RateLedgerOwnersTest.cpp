// Members and the owners of their ledgers with message delays between them: the tokens that an organisation gets in total stay
// within its plan and use it up, also with late responses and changes of the owner.

#include "mesh/LedgerOwnerTracker.h"
#include "mesh/MeshSettings.h"
#include "mesh/RateAccount.h"
#include "mesh/RateLedger.h"

#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };
constexpr auto quotaWindow = 5s;
constexpr auto warmUp = 2s; // Members send heartbeats before there is traffic

// A fleet in simulated time with one organisation, `demand` requests per second in total, and two owners of its ledger.
class LedgerOwnerModel {
public:
    LedgerOwnerModel(size_t members, const RatePlan& plan, Duration meanDelay, unsigned seed)
        : m_plan(plan)
        , m_meanDelay(meanDelay)
        , m_random(seed)
        , m_ledgers { RateLedger(m_settings), RateLedger(m_settings) }
    {
        for (size_t i = 0; i < members; ++i)
            m_members.push_back(std::make_unique<Member>(m_settings));
    }

    // Each member switches to the other owner after this time on average.
    void setDwell(Duration dwell) { m_dwell = dwell; }

    void simulate(double demand, Duration length)
    {
        m_demand = demand;
        at(start, [this] { sendHeartbeats(); });
        at(start + warmUp, [this] { arrive(); });
        while (m_now < start + warmUp + length) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto run = std::move(event->second);
            m_events.erase(event);
            run();
        }
    }

    size_t arrived() const { return m_arrived; }
    size_t granted() const { return m_granted; }
    size_t mostInAWindow() const { return m_mostInAWindow; }

private:
    struct Member {
        explicit Member(const MeshSettings& settings)
            : localShares(settings)
            , account(settings)
        {
        }

        LocalRateShares localShares;
        RateAccount account;
        LedgerOwnerTracker ownerTracker;
        size_t owner { 0 };
    };

    void at(TimePoint time, std::function<void()> run) { m_events.emplace(time, std::move(run)); }

    Duration randomDuration(Duration mean)
    {
        return fromSeconds(std::exponential_distribution<double>(1 / std::max(1e-6, toSeconds(mean)))(m_random));
    }

    std::string nameOf(size_t index) const { return std::to_string(index); }

    void sendHeartbeats()
    {
        for (size_t i = 0; i < m_members.size(); ++i) {
            auto& member = *m_members[i];
            if (m_dwell > Duration::zero() && randomDuration(m_dwell) < m_settings.ledgerHeartbeatInterval)
                member.owner = 1 - member.owner;
            const auto settlement = member.account.settle();
            const auto switchedAgo = member.ownerTracker.recordMessageTo(nameOf(member.owner), m_now);
            at(m_now + randomDuration(m_meanDelay), [this, i, owner = member.owner, settlement, switchedAgo] {
                m_ledgers[owner].recordContact(nameOf(i), switchedAgo, m_now);
                settle(owner, settlement);
            });
        }
        at(m_now + m_settings.ledgerHeartbeatInterval, [this] { sendHeartbeats(); });
    }

    void settle(size_t owner, const RateSettlement& settlement)
    {
        m_ledgers[owner].settle("o", settlement, m_plan, m_members.size(), m_now);
    }

    void arrive()
    {
        const auto index = m_random() % m_members.size();
        ++m_arrived;
        m_members[index]->account.add(m_arrived);
        if (!m_members[index]->account.hasOpenTokenRequest())
            requestTokens(index);
        at(m_now + fromSeconds(std::exponential_distribution<double>(m_demand)(m_random)), [this] { arrive(); });
    }

    void requestTokens(size_t index)
    {
        auto& member = *m_members[index];
        const auto sequence = ++m_sequence;
        const auto wanted = member.account.openTokenRequest(sequence);
        const auto owner = member.owner;
        const auto switchedAgo = member.ownerTracker.recordMessageTo(nameOf(owner), m_now);
        at(m_now + randomDuration(m_meanDelay),
            [this, index, sequence, owner, wanted, switchedAgo, settled = member.account.settle()] {
                m_ledgers[owner].recordContact(nameOf(index), switchedAgo, m_now);
                settle(owner, settled);
                const auto grant = m_ledgers[owner].grant("o", wanted, m_plan, m_members.size(), m_now);
                at(m_now + randomDuration(m_meanDelay), [this, index, sequence, grant] { onGrant(index, sequence, grant); });
            });
        at(m_now + m_settings.ledgerRequestTimeout, [this, index, sequence] {
            if (m_members[index]->account.openSequence() == sequence)
                onTimeout(index);
        });
    }

    void onGrant(size_t index, uint64_t sequence, const RateGrant& grant)
    {
        complete(index, m_members[index]->account.applyGrant(sequence, grant));
    }

    void onTimeout(size_t index)
    {
        auto& member = *m_members[index];
        const auto wanted = member.account.requestedTokens();
        complete(index,
            member.account.applyLocalGrantOnTimeout(member.localShares.grant("o", wanted, m_plan, m_members.size(), m_now)));
    }

    void complete(size_t index, const RateAccount::Decisions& decisions)
    {
        for (const auto& decision : decisions) {
            if (!decision.admitted)
                continue;
            ++m_granted;
            m_admitted.push_back(m_now);
        }
        while (!m_admitted.empty() && m_now - m_admitted.front() > quotaWindow)
            m_admitted.pop_front();
        m_mostInAWindow = std::max(m_mostInAWindow, m_admitted.size());
        if (m_members[index]->account.hasWaiting() && !m_members[index]->account.hasOpenTokenRequest())
            requestTokens(index);
    }

    MeshSettings m_settings;
    RatePlan m_plan;
    Duration m_meanDelay;
    Duration m_dwell {};
    double m_demand { 0 };
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Member>> m_members;
    std::array<RateLedger, 2> m_ledgers;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::deque<TimePoint> m_admitted; // Within the last window
    TimePoint m_now { start };
    uint64_t m_sequence { 0 };
    size_t m_arrived { 0 };
    size_t m_granted { 0 };
    size_t m_mostInAWindow { 0 };
};

constexpr RatePlan plan { 100, 100 };

// Upper bound that deployments allow in a window: 1.1 times the plan plus 20 requests.
size_t allowedInAWindow()
{
    return static_cast<size_t>((plan.rate * toSeconds(quotaWindow) + plan.burst) * 1.1 + 20);
}

struct Delays {
    size_t members;
    Duration oneWay; // Mean
};

constexpr Delays delaysOfSlowOwners[] = { { 9, 1ms }, { 9, 30ms }, { 9, 50ms }, { 78, 1ms }, { 78, 30ms }, { 78, 50ms } };
constexpr unsigned seeds = 5;
constexpr auto length = 20s;
constexpr double demand = 4 * plan.rate;

std::string describe(const Delays& delays, unsigned seed)
{
    return std::to_string(delays.members) + " members, " + std::to_string(toSeconds(delays.oneWay)) + " s one way, seed "
        + std::to_string(seed);
}

TEST(RateLedgerOwners, ASlowOwnerDoesNotIncreaseTheRateOfAnOrganisation)
{
    for (const auto& delays : delaysOfSlowOwners) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            LedgerOwnerModel model(delays.members, plan, delays.oneWay, seed);
            model.simulate(demand, length);
            EXPECT_LE(model.mostInAWindow(), allowedInAWindow()) << describe(delays, seed);
        }
    }
}

// An organisation that sends more than its plan gets its plan; 10 % are allowed for requests in flight.
TEST(RateLedgerOwners, ASlowOwnerDoesNotReduceTheRateOfAnOrganisation)
{
    for (const auto& delays : delaysOfSlowOwners) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            LedgerOwnerModel model(delays.members, plan, delays.oneWay, seed);
            model.simulate(demand, length);
            EXPECT_GE(static_cast<double>(model.granted()), plan.rate * toSeconds(length) * 0.9) << describe(delays, seed);
        }
    }
}

// All requests fit in the plan.
TEST(RateLedgerOwners, RequestsWithinTheRateAreNotRefusedBecauseTheOwnerIsSlow)
{
    for (const auto& delays : delaysOfSlowOwners) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            LedgerOwnerModel model(delays.members, plan, delays.oneWay, seed);
            model.simulate(0.7 * plan.rate, length);
            EXPECT_GE(static_cast<double>(model.granted()), static_cast<double>(model.arrived()) * 0.9) << describe(delays, seed);
        }
    }
}

TEST(RateLedgerOwners, MembersThatSwitchOwnersDoNotIncreaseTheRateOfAnOrganisation)
{
    for (const auto dwell : { Duration(400ms), Duration(1s), Duration(3s) }) {
        for (const size_t members : { 9, 78 }) {
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                LedgerOwnerModel model(members, plan, 1ms, seed);
                model.setDwell(dwell);
                model.simulate(demand, length);
                EXPECT_LE(model.mostInAWindow(), allowedInAWindow())
                    << members << " members that stay " << toSeconds(dwell) << " s, seed " << seed;
            }
        }
    }
}

} // namespace
} // namespace shallot
