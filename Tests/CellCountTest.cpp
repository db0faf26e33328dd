#include "soak/CellCount.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace shallot::cells {
namespace {

using namespace std::chrono_literals;

bool isMissing(const CellCount& count, const char* name)
{
    const auto missing = count.missing();
    return std::find(missing.begin(), missing.end(), name) != missing.end();
}

TEST(CellCount, TimesAreSharesOfTheShutdownTime)
{
    EXPECT_EQ(whenOf(2599ms, 6s), When::Early);
    EXPECT_EQ(whenOf(2601ms, 6s), When::ToHalf);
    EXPECT_EQ(whenOf(3s, 6s), When::ToLastSixth);
    EXPECT_EQ(whenOf(5s, 6s), When::LastSixth);
    EXPECT_EQ(whenOf(2500ms, 3s), When::LastSixth);
}

TEST(CellCount, AMomentMeetsTheCellsOfItsPairsOnce)
{
    CellCount count;
    EXPECT_EQ(count.met(), 0U);
    EXPECT_EQ(count.missing().size(), CellCount::total());
    const Moment moment { Who::Both, Where::Running, Maker::OwnRun, Client::Slow, When::LastSixth };
    count.add(moment);
    count.add(moment);
    EXPECT_EQ(count.met(), 5U);
    EXPECT_FALSE(isMissing(count, "who ends: both, where: running"));
    EXPECT_FALSE(isMissing(count, "client: slow, when: last sixth"));
    EXPECT_TRUE(isMissing(count, "who ends: entry, where: running"));
}

TEST(CellCount, CellsThatCannotBeReachedAreNeitherMetNorMissing)
{
    CellCount count;
    EXPECT_FALSE(isMissing(count, "who ends: backend server's, where: half sent"));
    EXPECT_FALSE(isMissing(count, "who ends: reload, when: after the restart"));
    EXPECT_TRUE(isMissing(count, "who ends: entry, where: half sent"));
    count.add({ Who::Reload, Where::Read, Maker::Caller, Client::Kept, When::AfterRestart });
    EXPECT_EQ(count.met(), 4U); // Not who ends, when
    EXPECT_EQ(count.met() + count.missing().size(), CellCount::total());
}

} // namespace
} // namespace shallot::cells
