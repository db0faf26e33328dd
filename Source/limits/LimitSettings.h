#pragma once

#include "core/Time.h"

namespace shallot {

// Settings of the fleet-wide rate limits. `ownerLeaseDuration` and the loan times must be the same on all daemons of a fleet:
// the safety of takeovers and expired loans depends on both sides using the same values.
struct LimitSettings {
    Duration loanDuration { std::chrono::seconds(2) };            // Validity of a loan at its borrower, counted from the request
    Duration loanExpiryMargin { std::chrono::milliseconds(250) }; // Extra time before the lender reclaims an expired loan
    double clockDrift { 0.01 };                                   // Maximum relative difference in speed of two clocks
    Duration ownerLeaseDuration { std::chrono::seconds(3) };      // An owner may lend for this long after a lease renewal
    Duration holdTime { std::chrono::milliseconds(20) };          // Maximum time that a request waits for a loan
    Duration requestTimeout { std::chrono::milliseconds(200) };   // Timeout of a loan request
    Duration demandWindow { std::chrono::milliseconds(500) };     // Averaging window of the measured demand
    Duration emptyBackoff { std::chrono::milliseconds(20) };      // Minimum backoff after a lender granted nothing
    Duration partialGrantBackoff { std::chrono::milliseconds(100) }; // Maximum backoff after a grant below the need
    double reserveFraction { 0.1 }; // Fraction of the rate that a lender reserves for new borrowers
    double headroom { 1.3 };        // Rate lent per unit of measured demand, if available
    double minimumRatedBurst { 2 }; // Smaller grants are lent as whole tokens without a rate
};

// Time from grant until the lender reclaims a loan that was not returned. Longer than the loan's validity at the borrower by the
// clock drift and a margin.
inline Duration lenderLoanDuration(const LimitSettings& settings)
{
    return fromSeconds(toSeconds(settings.loanDuration) * (1 + settings.clockDrift)) + settings.loanExpiryMargin;
}

// Time that a new owner waits after a takeover before it lends: until the previous owner's lease and all of its loans have
// expired.
inline Duration takeoverWait(const LimitSettings& settings)
{
    return fromSeconds(toSeconds(settings.ownerLeaseDuration) * (1 + settings.clockDrift)) + settings.loanExpiryMargin
        + lenderLoanDuration(settings);
}

} // namespace shallot
