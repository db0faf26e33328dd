#include "core/ErrorKind.h"

#include <gtest/gtest.h>
#include <set>

namespace shallot {
namespace {

TEST(ErrorKind, KindsHaveUniqueNames)
{
    std::set<std::string_view> names;
    for (size_t i = 0; i < static_cast<size_t>(ErrorKind::Count); ++i)
        EXPECT_TRUE(names.insert(errorInfo(static_cast<ErrorKind>(i)).name).second);
}

TEST(ErrorKind, ValuesOutsideTheEnumerationAreInternal)
{
    EXPECT_EQ(errorInfo(static_cast<ErrorKind>(200)).kind, ErrorKind::Internal);
}

// A daemon retries a request elsewhere without a retry token only if it certainly did not run.
TEST(ErrorKind, OutcomeUnknownIsNeverRetried)
{
    EXPECT_FALSE(errorInfo(ErrorKind::OutcomeUnknown).retryable);
    EXPECT_EQ(errorInfo(ErrorKind::OutcomeUnknown).execution, ExecutionState::Unknown);
}

} // namespace
} // namespace shallot
