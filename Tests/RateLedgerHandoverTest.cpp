// Handovers of ledgers between owners that stop and return in any order.

#include "mesh/LedgerOwnerTracker.h"
#include "mesh/MeshSettings.h"
#include "mesh/RateLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>

namespace shallot {
namespace {

const std::string organisation = "organisation";
constexpr RatePlan plan { 60, 600 }; // A second burst exceeds what any window allows

TEST(RateLedgerHandover, AFormerOwnerHandsNothingOver)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    TimePoint now { 10s };
    ledger.recordContact("member", {}, now);
    now += settings.shareLease;
    ledger.recordContact("member", {}, now);
    ledger.grant(organisation, 1, plan, 1, now);
    // The members have used another ledger since.
    now += settings.ledgerIdleTimeout + 1ms;
    EXPECT_TRUE(ledger.handOver(now).empty());
}

TEST(RateLedgerHandover, AnOutdatedHandoverDoesNotRaiseTheTokensOfALedgerInUse)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    TimePoint now { 10s };
    for (int i = 0; i < 50; ++i, now += 100ms) {
        ledger.recordContact("member", {}, now);
        ledger.grant(organisation, 1000, plan, 1, now);
    }
    ledger.acceptHandover(organisation, plan.burst, now);
    EXPECT_LE(ledger.grant(organisation, 1000, plan, 1, now).tokens, plan.rate);
}

TEST(RateLedgerHandover, AHandoverThatArrivesTwiceCountsOnce)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    TimePoint now { 10s };
    ledger.acceptHandover(organisation, 100, now);
    ledger.recordContact("member", {}, now);
    EXPECT_EQ(ledger.grant(organisation, 1000, plan, 1, now).tokens, 100U);
    now += 100ms;
    ledger.acceptHandover(organisation, 100, now);
    ledger.recordContact("member", {}, now);
    EXPECT_LE(ledger.grant(organisation, 1000, plan, 1, now).tokens, 6U);
}

// Members that all know who is up: the first of them owns the ledger. A stopped owner hands over; the message arrives late, twice
// or out of order with others. The oracle: what the users' pages allow in any 5 s for one organisation.
class Members {
public:
    static constexpr size_t count = 3;
    static constexpr auto step = 50ms;
    static constexpr auto window = 5s;

    Members()
        : m_ledgers(count)
        , m_trackers(count)
        , m_up(count, true)
    {
        for (auto& ledger : m_ledgers)
            ledger.emplace(m_settings);
    }

    void stop(size_t member, Duration delay, unsigned copies)
    {
        if (!m_up[member] || std::count(m_up.begin(), m_up.end(), true) == 1)
            return;
        m_up[member] = false;
        const auto tokens = m_ledgers[member]->handOver(m_now);
        m_trackers[member] = {};
        if (const auto found = tokens.find(organisation); found != tokens.end()) {
            for (unsigned i = 0; i < copies; ++i)
                m_messages.push_back({ m_now + (i + 1) * delay, owner(), found->second });
        }
        m_ledgers[member].emplace(m_settings);
    }
    void start(size_t member) { m_up[member] = true; }

    void run(Duration duration, unsigned wanted)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            for (const auto& message : m_messages) {
                if (message.at <= m_now && m_up[message.to])
                    m_ledgers[message.to]->acceptHandover(organisation, message.tokens, m_now);
            }
            std::erase_if(m_messages, [&](const auto& message) { return message.at <= m_now; });
            for (size_t i = 0; i < count; ++i) {
                if (m_up[i])
                    m_ledgers[owner()]->recordContact(
                        std::to_string(i), m_trackers[i].recordMessageTo(std::to_string(owner()), m_now), m_now);
            }
            const auto granted = m_ledgers[owner()]->grant(organisation, wanted, plan, count, m_now).tokens;
            m_grants.push_back({ m_now, granted });
            m_inWindow += granted;
            for (; m_grants.front().at <= m_now - window; m_grants.pop_front())
                m_inWindow -= m_grants.front().tokens;
            m_most = std::max(m_most, m_inWindow);
        }
    }

    unsigned mostInWindow() const { return m_most; }
    static unsigned allowed() { return static_cast<unsigned>((plan.rate * toSeconds(window) + plan.burst) * 1.1 + 20); }

private:
    struct Message {
        TimePoint at {};
        size_t to { 0 };
        double tokens { 0 };
    };
    struct Grant {
        TimePoint at {};
        unsigned tokens { 0 };
    };

    size_t owner() const { return static_cast<size_t>(std::find(m_up.begin(), m_up.end(), true) - m_up.begin()); }

    MeshSettings m_settings;
    std::vector<std::optional<RateLedger>> m_ledgers; // Of a process each
    std::vector<LedgerOwnerTracker> m_trackers;
    std::vector<bool> m_up;
    std::deque<Message> m_messages;
    std::deque<Grant> m_grants;
    unsigned m_inWindow { 0 };
    unsigned m_most { 0 };
    TimePoint m_now { 100s };
};

TEST(RateLedgerHandover, AFormerOwnerThatStopsLaterBringsNoSecondBurst)
{
    Members members;
    members.run(12s, 0);
    members.stop(0, 10ms, 1);
    members.run(2s, 0);
    members.start(0);
    members.run(12s, 0);
    members.run(500ms, 400);
    members.stop(1, 10ms, 1);
    members.run(3s, 400);
    EXPECT_LE(members.mostInWindow(), Members::allowed());
}

RC_GTEST_PROP(RateLedgerHandover, NoSequenceOfStopsAndReturnsExceedsThePlan, ())
{
    const auto steps = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(40, 120));
    Members members;
    members.run(12s, 0);
    for (int i = 0; i < steps; ++i) {
        const auto member = *rc::gen::element<size_t>(0, 1, 2);
        if (*rc::gen::element(true, false))
            members.stop(member, *rc::gen::element<Duration>(10ms, 400ms, 1500ms), *rc::gen::element(1U, 2U));
        else
            members.start(member);
        const auto idleTime = *rc::gen::element<Duration>(0ms, 2s, 12s);
        members.run(idleTime, 0);
        members.run(*rc::gen::element<Duration>(0ms, 500ms, 3s), 400);
        RC_ASSERT(members.mostInWindow() <= Members::allowed());
    }
}

} // namespace
} // namespace shallot
