#pragma once

#include <concepts>
#include <limits>

namespace shallot {

// Rounded towards zero and clamped to the range of the type; zero for NaN. A cast of a value outside the range is undefined, and
// the results on x86-64 and arm64 differ.
template <std::integral Integer> constexpr Integer saturatedCast(double value)
{
    using Limits = std::numeric_limits<Integer>;
    if (!(value == value)) // NOLINT(misc-redundant-expression): false for NaN; std::isnan() is not constexpr in C++20
        return 0;
    if (value <= static_cast<double>(Limits::min()))
        return Limits::min();
    if (value >= static_cast<double>(Limits::max()))
        return Limits::max();
    return static_cast<Integer>(value);
}

} // namespace shallot
