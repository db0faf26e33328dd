#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cmath>

namespace shallot {

// What is left of a value that decays exponentially.
inline double decayed(double value, Duration age, Duration timeConstant)
{
    return value * std::exp(-std::max(0.0, toSeconds(age)) / toSeconds(timeConstant));
}

} // namespace shallot
