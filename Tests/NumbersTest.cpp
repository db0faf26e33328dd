// Numbers from outside are clamped to what their use can hold: a cast of a number out of range gives another result on each
// architecture, and undefined behaviour on all.

#include "core/Numbers.h"
#include "core/JSON.h"
#include "core/Time.h"
#include "mesh/MeshSettings.h"
#include "mesh/RateLedger.h"
#include "platform/ConfigurationCodec.h"
#include "platform/InstanceSettings.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();

TEST(Numbers, IntegersAreClampedToTheirRange)
{
    EXPECT_EQ(saturatedCast<unsigned>(-1), 0U);
    EXPECT_EQ(saturatedCast<unsigned>(4'294'967'296.0), UINT32_MAX);
    EXPECT_EQ(saturatedCast<uint8_t>(256), UINT8_MAX);
    EXPECT_EQ(saturatedCast<uint64_t>(1e300), UINT64_MAX);
    EXPECT_EQ(saturatedCast<int64_t>(9'223'372'036'854'775'808.0), INT64_MAX);
    EXPECT_EQ(saturatedCast<int64_t>(-infinity), INT64_MIN);
    EXPECT_EQ(saturatedCast<int64_t>(notANumber), 0);
    EXPECT_EQ(saturatedCast<int64_t>(-1.9), -1);
    EXPECT_EQ(saturatedCast<uint64_t>(9'007'199'254'740'991.0), 9'007'199'254'740'991U);
}

TEST(Numbers, DurationsCanBeAddedToATimeWhateverTheirSeconds)
{
    const TimePoint now { 100 * 365 * 24h };
    for (const double seconds : { infinity, 1e300, 1e13, 9.3e12 }) {
        EXPECT_EQ(fromSeconds(seconds), longestDuration) << seconds;
        EXPECT_GT(now + fromSeconds(seconds), now) << seconds;
        EXPECT_LT(now + fromSeconds(-seconds), now) << seconds;
    }
    EXPECT_EQ(fromSeconds(notANumber), Duration::zero());
    EXPECT_EQ(fromSeconds(1.25), 1250ms);
}

TEST(Numbers, AnOrganisationWithAnEnormousBurstIsNotRefused)
{
    const MeshSettings settings;
    LocalRateShares shares(settings);
    const RatePlan plan { 4'294'967'296.0, 4'294'967'296.0 };
    const TimePoint start { 1000s };
    shares.grant("perth-high", 1, plan, 1, start, start);
    EXPECT_EQ(shares.grant("perth-high", 7, plan, 1, start + 10s, start).tokens, 7U);
}

TEST(Numbers, AConfigurationWithNumbersOutOfRangeHasTheSameLimitsEverywhere)
{
    const auto configuration = platform::decodeConfiguration(
        R"({"version":"r1","services":[{"name":"s","max_connections":1e10}],)"
        R"("limits":{"max_header_bytes":1e30,"max_body_bytes":-5,"header_timeout_s":1e30,"idle_timeout_s":-1e30},)"
        R"("virtual_hosts":[{"host":"h","paths":[{"name":"r","service":"s","timeout_s":1e13,"attempts":1e12,"priority":-3}]}]})");
    ASSERT_TRUE(configuration.has_value());
    EXPECT_EQ(configuration->services.at(0).maximumConnections, UINT32_MAX);
    EXPECT_EQ(configuration->limits.headerBytes, SIZE_MAX);
    EXPECT_EQ(configuration->limits.bodyBytes, 0U);
    EXPECT_EQ(configuration->limits.headerTimeout, longestDuration);
    EXPECT_EQ(configuration->limits.idleTimeout, -longestDuration);
    EXPECT_EQ(configuration->routes.at(0).timeLimit, longestDuration);
    EXPECT_EQ(configuration->routes.at(0).maximumEndpoints, UINT32_MAX);
    EXPECT_EQ(configuration->routes.at(0).rank, 0);
}

// A fused multiply-add rounds once. x86-64 has none at its baseline; arm64 has.
TEST(Numbers, ProductsAreRoundedBeforeTheyAreAdded)
{
    volatile double factor = 1 + 0x1p-30;
    volatile double product = 0;
    product = factor * factor;
    EXPECT_EQ(factor * factor - product, 0);
}

} // namespace
} // namespace shallot
