// Stateful fuzzing of one lender. The oracle adds up the loans that are still valid by their borrowers' clocks: their rates and
// bursts never exceed the lender's share, and no loan has more tokens than its burst.

#include "limits/LenderLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace shallot {
namespace {

constexpr double shareRate = 50;
constexpr double shareBurst = 40;
constexpr double tolerance = 1e-6;

struct UsableLoan {
    int borrower { 0 };
    Loan loan;
    TimePoint expires {};
};

// Loans held by borrowers: each is used until it is returned or expires.
struct Model {
    std::vector<UsableLoan> loans;
};

struct System {
    explicit System(const LimitSettings& limitSettings)
        : settings(limitSettings)
        , lender(settings)
    {
        lender.setShare("school", shareRate, shareBurst, now);
    }

    LimitSettings settings;
    TimePoint now { std::chrono::seconds(10) };
    LenderLedger lender;
    std::vector<UsableLoan> held;

    double heldRate() const
    {
        double total = 0;
        for (const auto& item : held)
            total += item.expires > now ? item.loan.rate : 0;
        return total;
    }

    double heldBurst() const
    {
        double total = 0;
        for (const auto& item : held)
            total += item.expires > now ? item.loan.burst : 0;
        return total;
    }
};

using Command = rc::state::Command<Model, System>;

struct Exchange : Command {
    int borrower = *rc::gen::inRange(0, 6);
    double demand = *rc::gen::inRange(0, 200);
    uint32_t waiting = *rc::gen::inRange<uint32_t>(0, 20);
    bool returns = *rc::gen::arbitrary<bool>();
    bool responseIsLost = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });

    void run(const Model&, System& system) const override
    {
        LoanRequest request { "school", {}, demand, waiting };
        if (returns) {
            std::erase_if(system.held, [&](const auto& item) {
                if (item.borrower != borrower)
                    return false;
                request.returned.push_back({ item.loan.id, item.loan.tokens });
                return true;
            });
        }
        const auto loan = system.lender.exchange("borrower" + std::to_string(borrower), request, system.now);
        RC_ASSERT(loan.tokens <= loan.burst + tolerance);
        if (loan.burst > 0 && !responseIsLost)
            system.held.push_back({ borrower, loan, system.now + system.settings.loanDuration });
        RC_ASSERT(system.heldRate() <= shareRate + tolerance);
        RC_ASSERT(system.heldBurst() <= shareBurst + tolerance);
    }

    void show(std::ostream& stream) const override
    {
        stream << "Exchange(" << borrower << ", demand " << demand << ", waiting " << waiting << (returns ? ", returns" : "")
               << ")";
    }
};

struct Wait : Command {
    int milliseconds = *rc::gen::inRange(1, 1500);

    void run(const Model&, System& system) const override
    {
        system.now += std::chrono::milliseconds(milliseconds);
        system.lender.tick(system.now);
    }

    void show(std::ostream& stream) const override { stream << "Wait(" << milliseconds << " ms)"; }
};

void checkLender(const LimitSettings& settings)
{
    System system(settings);
    rc::state::check(Model(), system, rc::state::gen::execOneOfWithArgs<Exchange, Wait>());
}

RC_GTEST_PROP(LenderFuzz, LoansNeverExceedTheShare, ())
{
    checkLender({});
}

TEST(LenderFuzz, DetectsALenderThatReclaimsLoansTooEarly)
{
    LimitSettings settings;
    settings.clockDrift = -1;
    settings.loanExpiryMargin = Duration::zero();
    // Fixed size and seed, independent of RC_PARAMS: the fault must be found in every run.
    rc::detail::TestParams params;
    params.seed = 1;
    params.maxSuccess = 200;
    params.maxSize = 60;
    const auto result = rc::detail::checkTestable([&] { checkLender(settings); }, rc::detail::TestMetadata(), params);
    EXPECT_FALSE(result.template is<rc::detail::SuccessResult>());
}

} // namespace
} // namespace shallot
