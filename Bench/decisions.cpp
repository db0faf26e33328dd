// Micro-benchmarks of the decisions in the admission path, at current and much larger fleet sizes.

#include "config/ConfigurationIndex.h"
#include "core/Digest.h"
#include "core/RequestID.h"
#include "limits/BorrowerLedger.h"
#include "policy/EndpointTable.h"
#include "policy/FairScore.h"
#include "policy/PolicySettings.h"
#include "policy/RequestQueue.h"

#include <benchmark/benchmark.h>

using namespace shallot;

namespace {

std::string organisationName(int64_t index)
{
    return "organisation" + std::to_string(index);
}

void lookUpKey(benchmark::State& state)
{
    Configuration configuration;
    configuration.plans["plan"] = { 10, 10, {} };
    for (int64_t i = 0; i < state.range(0); ++i)
        configuration.organisations[organisationName(i)] = { "plan", { sha256Hex(organisationName(i)) } };
    const ConfigurationIndex index(configuration);
    int64_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(index.findByKeyDigest(sha256Hex(organisationName(next++ % state.range(0)))));
}
BENCHMARK(lookUpKey)->Arg(8)->Arg(10'000);

void admitByLoan(benchmark::State& state)
{
    LimitSettings settings;
    settings.loanDuration = std::chrono::hours(1);
    TimePoint now { std::chrono::seconds(1) };
    BorrowerLedger borrower(settings, [](const std::string&) { return std::vector<std::string> { "lender" }; });
    for (int64_t i = 0; i < state.range(0); ++i)
        borrower.admit(organisationName(i), now, true);
    now += std::chrono::seconds(1);
    for (int64_t i = 0; i < state.range(0); ++i)
        borrower.admit(organisationName(i), now, true);
    for (const auto& batch : borrower.takeRequests(now)) {
        std::vector<Loan> loans;
        for (const auto& request : batch.requests)
            loans.push_back({ request.organisation, 1, 1e9, 1e9, 1e9, {} });
        borrower.onLoans("lender", batch.sequence, loans, now);
    }
    int64_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(borrower.admit(organisationName(next++ % state.range(0)), now, true));
}
BENCHMARK(admitByLoan)->Arg(8)->Arg(10'000);

void scoreRequest(benchmark::State& state)
{
    FairScore scores;
    uint64_t next = 0;
    std::vector<std::string> names;
    for (int64_t i = 0; i < state.range(0); ++i)
        names.push_back(organisationName(i));
    for (auto _ : state) {
        ++next;
        // 10,000 requests per second.
        const TimePoint now { std::chrono::microseconds(next * 100) };
        benchmark::DoNotOptimize(scores.score(4, names[next % names.size()], { next, next }, now));
    }
}
BENCHMARK(scoreRequest)->Arg(8)->Arg(10'000);

void chooseEndpoint(benchmark::State& state)
{
    const PolicySettings settings;
    EndpointTable table(settings, "zone-a");
    for (int64_t i = 0; i < state.range(0); ++i) {
        Endpoint endpoint;
        endpoint.member = "member" + std::to_string(i);
        endpoint.zone = i % 3 ? "zone-b" : "zone-a";
        endpoint.service = "profiles";
        table.update(endpoint);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(table.choose("profiles", TimePoint(), {}));
}
BENCHMARK(chooseEndpoint)->Arg(5)->Arg(200);

void queueAndRun(benchmark::State& state)
{
    RequestQueue queue;
    std::vector<QueueItem> items(1000);
    for (size_t i = 0; i < items.size(); ++i) {
        items[i].priority = static_cast<uint8_t>(i % 8);
        items[i].organisation = organisationName(static_cast<int64_t>(i) % state.range(0));
    }
    size_t next = 0;
    for (auto& item : items)
        queue.push(item);
    for (auto _ : state) {
        auto* item = queue.pop();
        queue.push(*item);
        benchmark::DoNotOptimize(++next);
    }
    while (queue.pop()) { }
}
BENCHMARK(queueAndRun)->Arg(8)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
