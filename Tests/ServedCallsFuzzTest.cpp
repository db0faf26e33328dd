// Calls over the ends of their links, in any order of arrivals, queries, ends and pauses: a call that may run once runs once.

#include "mesh/MeshSettings.h"
#include "mesh/ServedCalls.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };
constexpr Duration timeLimit = 2s;
constexpr size_t actionsPerCase = 200;
using Actions = std::vector<std::pair<int, int>>;

ServedCallKey keyOf(uint64_t id)
{
    return { "daemon-1", 1, id };
}

MeshOutcome outcomeWith(const std::string& body)
{
    return { HTTPResponse { 200, {}, body }, {}, true };
}

MeshSettings smallSettings()
{
    MeshSettings settings;
    settings.maximumServedCallRecords = 5;
    settings.maximumKeptOutcomeBytes = 3000;
    return settings;
}

// One sender and the daemon that it calls. Calls on their way arrive late or never, and in any order.
class Model {
public:
    void send() { m_onTheWay.insert(m_nextID++); }

    void arrive(size_t choice)
    {
        if (m_onTheWay.empty())
            return;
        const auto id = *std::next(m_onTheWay.begin(), static_cast<ptrdiff_t>(choice % m_onTheWay.size()));
        m_onTheWay.erase(id);
        constexpr uint64_t limits = 7; // From 0 to 1.8 s
        if (!m_calls.begin(keyOf(id), m_now + id % limits * 300ms, m_now))
            return;
        RC_ASSERT(!m_begun.contains(id));
        RC_ASSERT(!m_elsewhere.contains(id));
        m_begun.insert(id);
        m_open[id] = TimePoint::max();
    }

    void end(size_t choice)
    {
        if (m_open.empty())
            return;
        const auto id = std::next(m_open.begin(), static_cast<ptrdiff_t>(choice % m_open.size()))->first;
        m_open.erase(id);
        m_calls.end(keyOf(id), outcomeWith(std::to_string(id)), m_now);
    }

    void breakLink()
    {
        for (auto& [id, since] : m_open) {
            m_calls.detach(keyOf(id), m_now);
            since = std::min(since, m_now);
        }
    }

    void query(size_t choice)
    {
        const auto id = choice % m_nextID;
        switch (m_calls.query(keyOf(id), m_now)) {
        case ServedCallState::NotBegun:
            RC_ASSERT(!m_begun.contains(id));
            m_elsewhere.insert(id);
            break;
        case ServedCallState::InProgress:
            RC_ASSERT(m_open.contains(id));
            m_open[id] = TimePoint::max();
            break;
        case ServedCallState::Ended:
            RC_ASSERT(m_begun.contains(id) && !m_open.contains(id));
            RC_ASSERT(m_calls.outcomeOf(keyOf(id)) != nullptr);
            RC_ASSERT(m_calls.outcomeOf(keyOf(id))->response->body == std::to_string(id));
            break;
        case ServedCallState::Unknown:
            RC_ASSERT(!m_open.contains(id));
            break;
        }
    }

    void wait(Duration duration)
    {
        m_now += duration;
        for (const auto& key : m_calls.takeAbandoned(m_now)) {
            RC_ASSERT(m_open.contains(key.id));
            RC_ASSERT(m_now - m_open[key.id] >= m_settings.detachedCallLifetime);
            onAbandoned(key);
        }
        m_calls.expire(m_now);
        for (const auto& [id, since] : m_open)
            RC_ASSERT(since == TimePoint::max() || m_now - since < m_settings.detachedCallLifetime);
        RC_ASSERT(m_calls.nextAbandonment().value_or(TimePoint::max()) > m_now);
    }

    void checkBounds() const
    {
        RC_ASSERT(m_calls.keptBytes() <= m_settings.maximumKeptOutcomeBytes);
        RC_ASSERT(m_calls.recordCount() <= m_open.size() + m_settings.maximumServedCallRecords + 1);
    }

private:
    // Some run and are cancelled, some still wait, and some run and may run only once.
    void onAbandoned(const ServedCallKey& key)
    {
        switch (key.id % 3) {
        case 0:
            m_calls.end(key, std::nullopt, m_now);
            m_open.erase(key.id);
            RC_ASSERT(m_calls.query(key, m_now) == ServedCallState::Unknown);
            break;
        case 1:
            m_calls.refuse(key);
            m_open.erase(key.id);
            m_begun.erase(key.id);
            break;
        default:
            m_open[key.id] = TimePoint::max();
        }
    }

    const MeshSettings m_settings { smallSettings() };
    ServedCalls m_calls { m_settings };
    TimePoint m_now { start };
    uint64_t m_nextID { 1 };
    std::set<uint64_t> m_onTheWay;
    std::map<uint64_t, TimePoint> m_open; // Since when without a link
    std::set<uint64_t> m_begun;
    std::set<uint64_t> m_elsewhere; // The sender was told that they were not begun
};

TEST(ServedCallsFuzz, ACallRunsHereOrElsewhereAndEachCallEnds)
{
    const bool passed = rc::check([] {
        Model model;
        const auto action = rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1 << 16));
        const auto actions = rc::gen::noShrink(rc::gen::container<Actions>(actionsPerCase, action));
        for (const auto& [kind, number] : *rc::gen::resize(rc::kNominalSize, actions)) {
            const auto choice = static_cast<size_t>(number);
            switch (kind) {
            case 0:
            case 1:
                model.send();
                break;
            case 2:
            case 3:
                model.arrive(choice);
                break;
            case 4:
                model.end(choice);
                break;
            case 5:
                model.breakLink();
                break;
            case 6:
                model.query(choice);
                break;
            default:
                model.wait(Duration(number * 40));
            }
            model.checkBounds();
        }
    });
    EXPECT_TRUE(passed);
}

TEST(ServedCalls, AnotherProcessOfTheSenderIsNotConfusedWithTheFormerOne)
{
    const MeshSettings settings;
    ServedCalls calls(settings);
    EXPECT_TRUE(calls.begin({ "daemon-1", 1, 7 }, start + timeLimit, start));
    calls.end({ "daemon-1", 1, 7 }, outcomeWith("of the former process"), start);
    EXPECT_EQ(calls.query({ "daemon-1", 2, 7 }, start), ServedCallState::NotBegun);
    EXPECT_EQ(calls.query({ "daemon-2", 1, 7 }, start), ServedCallState::NotBegun);
    EXPECT_EQ(calls.query({ "daemon-1", 1, 7 }, start), ServedCallState::Ended);
    EXPECT_FALSE(calls.begin({ "daemon-1", 2, 7 }, start + timeLimit, start));
}

TEST(ServedCalls, NothingIsClaimedOfCallsThatMayHaveBeenForgotten)
{
    const MeshSettings settings;
    ServedCalls calls(settings);
    EXPECT_TRUE(calls.begin(keyOf(7), start + timeLimit, start));
    calls.end(keyOf(7), outcomeWith("done"), start);
    const auto later = start + timeLimit + settings.servedCallMargin;
    EXPECT_EQ(calls.query(keyOf(7), later), ServedCallState::Unknown);
    EXPECT_EQ(calls.query(keyOf(6), later), ServedCallState::Unknown);
    EXPECT_FALSE(calls.begin(keyOf(6), later + timeLimit, later));
    EXPECT_EQ(calls.query(keyOf(8), later), ServedCallState::NotBegun);
}

TEST(ServedCalls, AnOutcomeThatMayHaveBeenLostWithItsLinkIsAskedFor)
{
    const MeshSettings settings;
    ServedCalls calls(settings);
    for (uint64_t id = 1; id <= 3; ++id)
        EXPECT_TRUE(calls.begin(keyOf(id), start + timeLimit, start));
    calls.end(keyOf(1), outcomeWith("arrived"), start);
    const auto later = start + 2 * settings.lostAnswerWindow;
    calls.end(keyOf(2), outcomeWith("lost"), later);
    calls.end(keyOf(3), outcomeWith("lost"), later);
    calls.expectQueries("daemon-1", 2, later);
    EXPECT_EQ(calls.expectedQueries(), 0U);
    calls.expectQueries("daemon-1", 1, later);
    EXPECT_EQ(calls.expectedQueries(), 2U);
    EXPECT_EQ(calls.query(keyOf(2), later), ServedCallState::Ended);
    EXPECT_EQ(calls.expectedQueries(), 1U);
    calls.expire(start + timeLimit + settings.servedCallMargin); // Its sender asks no more
    EXPECT_EQ(calls.expectedQueries(), 0U);
}

TEST(ServedCalls, OutcomesThatWillBeAskedForAreKeptLongest)
{
    const auto settings = smallSettings();
    ServedCalls calls(settings);
    for (uint64_t id = 1; id <= 4; ++id) {
        EXPECT_TRUE(calls.begin(keyOf(id), start + timeLimit, start));
        calls.end(keyOf(id), outcomeWith(std::string(settings.maximumKeptOutcomeBytes / 3, 'x')), start);
        if (id == 1)
            calls.expectQuery(keyOf(1));
    }
    EXPECT_NE(calls.outcomeOf(keyOf(1)), nullptr);
    EXPECT_EQ(calls.outcomeOf(keyOf(2)), nullptr);
    EXPECT_LE(calls.keptBytes(), settings.maximumKeptOutcomeBytes);
}

} // namespace
} // namespace shallot
