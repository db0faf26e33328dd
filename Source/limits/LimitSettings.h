#pragma once

#include "core/Time.h"

namespace shallot {

// Knobs of the fleet-wide limits. `ownerLeaseDuration` and the loan times must be the same on all daemons of a fleet.
struct LimitSettings {
    Duration loanDuration { std::chrono::seconds(2) };            // A borrower uses a loan this long after it asked for it
    Duration loanExpiryMargin { std::chrono::milliseconds(250) }; // A lender waits this much longer before it counts it as home
    double clockDrift { 0.01 };                                   // Relative difference of two clocks' speeds, at most
    Duration ownerLeaseDuration { std::chrono::seconds(3) };      // An owner lends this long after its last contact
    Duration holdTime { std::chrono::milliseconds(20) };          // A request waits this long for a loan before it is refused
    Duration requestTimeout { std::chrono::milliseconds(200) };   // A loan request without answer is given up
    Duration demandWindow { std::chrono::milliseconds(500) };     // Averaging time of the measured demand
    Duration emptyBackoff { std::chrono::milliseconds(20) };      // Shortest pause after a lender had nothing
    Duration partialGrantBackoff { std::chrono::milliseconds(100) }; // Pause after a lender gave less than was waiting
    double reserveFraction { 0.1 };                                  // Part of the rate that a lender keeps for newcomers
    double headroom { 1.3 };                                         // Rate lent per unit of measured demand
    double minimumRatedBurst { 2 };                                  // Shares with a smaller burst are lent as single tokens
};

// When a lender counts a loan as home.
inline Duration lenderLoanDuration(const LimitSettings& settings)
{
    return fromSeconds(toSeconds(settings.loanDuration) * (1 + settings.clockDrift)) + settings.loanExpiryMargin;
}

// How long a new owner waits before it lends what another owner held: until that one has stopped and its loans are home.
inline Duration takeoverWait(const LimitSettings& settings)
{
    return fromSeconds(toSeconds(settings.ownerLeaseDuration) * (1 + settings.clockDrift)) + settings.loanExpiryMargin
        + lenderLoanDuration(settings);
}

} // namespace shallot
