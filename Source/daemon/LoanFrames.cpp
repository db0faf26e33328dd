#include "daemon/LoanFrames.h"

#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr uint64_t maximumRetryAfterUs = 60'000'000;

std::unique_ptr<wire::LoanRequestT> pack(const LoanRequest& request)
{
    auto packed = std::make_unique<wire::LoanRequestT>();
    packed->organisation = request.organisation;
    packed->demand = request.demand;
    packed->waiting = request.waiting;
    for (const auto& returned : request.returned) {
        auto loan = std::make_unique<wire::ReturnedLoanT>();
        loan->id = returned.id;
        loan->tokens = returned.tokens;
        packed->returned.push_back(std::move(loan));
    }
    return packed;
}

LoanRequest unpack(const wire::LoanRequestT& packed)
{
    LoanRequest request { packed.organisation, {}, packed.demand, packed.waiting };
    for (const auto& returned : packed.returned) {
        if (returned)
            request.returned.push_back({ returned->id, returned->tokens });
    }
    return request;
}

} // namespace

wire::FrameT makeLoanRequestsFrame(const LoanRequestBatch& batch)
{
    wire::LoanRequestsT message;
    message.sequence = batch.sequence;
    for (const auto& request : batch.requests)
        message.requests.push_back(pack(request));
    wire::FrameT frame;
    frame.body.Set(std::move(message));
    return frame;
}

wire::FrameT makeLoansFrame(uint64_t sequence, std::span<const Loan> loans)
{
    wire::LoansT message;
    message.sequence = sequence;
    for (const auto& loan : loans) {
        auto packed = std::make_unique<wire::LoanT>();
        packed->organisation = loan.organisation;
        packed->id = loan.id;
        packed->rate = loan.rate;
        packed->burst = loan.burst;
        packed->tokens = loan.tokens;
        packed->retry_after_us = static_cast<uint64_t>(loan.retryAfter.count());
        message.loans.push_back(std::move(packed));
    }
    wire::FrameT frame;
    frame.body.Set(std::move(message));
    return frame;
}

std::vector<LoanRequest> readLoanRequests(const wire::LoanRequestsT& message)
{
    std::vector<LoanRequest> requests;
    for (const auto& packed : message.requests) {
        if (packed)
            requests.push_back(unpack(*packed));
    }
    return requests;
}

std::vector<Loan> readLoans(const wire::LoansT& message)
{
    std::vector<Loan> loans;
    for (const auto& packed : message.loans) {
        if (!packed)
            continue;
        const auto retryAfter = Duration(static_cast<int64_t>(std::min(packed->retry_after_us, maximumRetryAfterUs)));
        loans.push_back({ packed->organisation, packed->id, packed->rate, packed->burst, packed->tokens, retryAfter });
    }
    return loans;
}

} // namespace shallot
