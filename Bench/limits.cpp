// Measures the ratio of requests within an organisation's rate that are refused, under four conditions; the baseline is equal
// static shares. Prints `figure refused_in_rate_ratio_CONDITION VALUE ratio baseline VALUE`, and for each condition the requests
// admitted above the quota: `figure quota_overrun_requests_CONDITION VALUE requests baseline 0`.

#include "FleetModel.h"

#include <cstdio>

using namespace shallot;

namespace {

constexpr uint32_t seed = 20261204;

struct Condition {
    const char* name;
    double demand; // As a fraction of the organisation's rate
    bool skewed;   // All requests arrive in one availability zone
    FleetModel::Fault first;
    FleetModel::Fault second;
};

double refusedRatio(const FleetModel& fleet)
{
    const double asked = static_cast<double>(fleet.admitted() + fleet.refused());
    return asked > 0 ? static_cast<double>(fleet.refused()) / asked : 0;
}

void measure(const Condition& condition)
{
    FleetModel fleet(seed);
    fleet.setDemand(condition.demand, condition.skewed);
    fleet.useDefaultSettings();
    fleet.setStep(std::chrono::milliseconds(1)); // Shorter than the time for which a request is held
    fleet.run(std::chrono::seconds(10));
    fleet.inject(condition.first, 0);
    fleet.inject(condition.second, 0);
    fleet.clearCounts();
    fleet.run(std::chrono::seconds(30));
    std::printf("figure refused_in_rate_ratio_%s %.4f ratio baseline %.4f\n", condition.name, refusedRatio(fleet),
        fleet.staticShareRefusedRatio());
    std::printf("figure quota_overrun_requests_%s %llu requests baseline 0\n", condition.name,
        static_cast<unsigned long long>(fleet.overruns()));
}

} // namespace

int main()
{
    using enum FleetModel::Fault;
    measure({ "steady", 0.8, false, None, None });
    measure({ "skewed", 0.8, true, None, None });
    measure({ "zone_cut", 0.8, false, IsolateZone, None });
    measure({ "log_down", 0.8, false, LogDown, None });
    return 0;
}
