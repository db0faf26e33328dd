#pragma once

#include "limits/BorrowerLedger.h"

#include <span>
#include <vector>

namespace shallot {

namespace wire {
struct FrameT;
struct LoanRequestsT;
struct LoansT;
} // namespace wire

// Conversion of loan requests and loans to and from frames of the peer link.
wire::FrameT makeLoanRequestsFrame(const LoanRequestBatch&);
wire::FrameT makeLoansFrame(uint64_t sequence, std::span<const Loan>);

std::vector<LoanRequest> readLoanRequests(const wire::LoanRequestsT&);
std::vector<Loan> readLoans(const wire::LoansT&);

} // namespace shallot
