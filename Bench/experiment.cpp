// Runs the overload scenarios and prints one line per figure: `figure NAME VALUE UNIT baseline VALUE`.
//   shallot-experiment [FOLDER]    also writes the goodput over time to FOLDER, for plots

#include "OverloadModel.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

using namespace shallot;

namespace {

constexpr uint32_t seed = 20261204;

struct Deployment {
    const char* name;
    std::vector<ServiceShape> chain;
};

// Sizes of the two deployments. The call chain passes each service once; the last one is the bottleneck.
const std::vector<Deployment>& deployments()
{
    static const std::vector<Deployment> list {
        { "quokka", { { "profiles", 4, 35, 4 }, { "matcher", 3, 45, 4 }, { "letterbox", 3, 45, 4 }, { "status", 3, 10, 8 } } },
        { "carrington",
            { { "counter", 5, 180, 20 }, { "archive", 3, 300, 20 }, { "kilnbook", 3, 300, 30 }, { "fieldmatch", 3, 35, 25 } } },
    };
    return list;
}

Scenario surge(const Deployment& deployment)
{
    Scenario scenario;
    scenario.chain = deployment.chain;
    scenario.capacity = healthyCapacity(scenario.chain);
    // By decreasing importance: confirmations and lessons, look-ups, browsing.
    scenario.classes = { { 6, 5, 0.1 }, { 4, 2, 0.3 }, { 2, 1, 0.6 } };
    scenario.slowdownFactor = 1.5;
    return scenario;
}

void print(const std::string& name, double value, const char* unit, double baseline)
{
    std::printf("figure %s %.4f %s baseline %.4f\n", name.c_str(), value, unit, baseline);
}

void writeTimeline(const std::string& folder, const std::string& name, const ScenarioResult& with, const ScenarioResult& without)
{
    std::ofstream file(folder + "/" + name + ".dat");
    for (size_t i = 0; i < with.timeline.size(); ++i)
        file << static_cast<double>(i) / 10 << " " << with.timeline[i] * 10 << " " << without.timeline[i] * 10 << "\n";
}

void runDeployment(const Deployment& deployment, const char* folder)
{
    const std::string prefix = std::string(deployment.name) + ".";
    const auto scenario = surge(deployment);
    const auto with = runScenario(scenario, Mechanisms::All, seed);
    const auto without = runScenario(scenario, Mechanisms::None, seed);
    print(prefix + "overload_goodput_ratio", with.goodput, "ratio", without.goodput);
    print(prefix + "plain_goodput_ratio", with.unweightedGoodput, "ratio", without.unweightedGoodput);
    print(prefix + "recovery_seconds", with.recoverySeconds, "s", without.recoverySeconds);
    print(prefix + "top_class_success_ratio", with.topClassSuccess, "ratio", without.topClassSuccess);
    if (folder)
        writeTimeline(folder, deployment.name, with, without);

    auto noisy = scenario;
    noisy.noisyOrganisationFactor = 5;
    print(prefix + "worst_organisation_ratio", runScenario(noisy, Mechanisms::All, seed).worstOrganisationRatio, "ratio",
        runScenario(noisy, Mechanisms::None, seed).worstOrganisationRatio);

    struct Removed {
        const char* name;
        Mechanisms mechanism;
    };
    // Ablation: all mechanisms but one.
    for (const auto& removed : { Removed { "queue", Mechanisms::Queue }, Removed { "levels", Mechanisms::Levels },
             Removed { "entry", Mechanisms::IngressShedding }, Removed { "retry_control", Mechanisms::RetryControl },
             Removed { "limits", Mechanisms::Limits } }) {
        const auto result = runScenario(scenario, ::shallot::without(Mechanisms::All, removed.mechanism), seed);
        print(prefix + "goodput_without_" + removed.name, result.goodput, "ratio", with.goodput);
        print(prefix + "recovery_without_" + removed.name, result.recoverySeconds, "s", with.recoverySeconds);
        print(prefix + "top_class_without_" + removed.name, result.topClassSuccess, "ratio", with.topClassSuccess);
    }
}

void runDeepChain()
{
    Scenario scenario;
    for (int i = 0; i < 23; ++i)
        scenario.chain.push_back({ "service" + std::to_string(i), 3, 100, 1 });
    scenario.classes = { { 4, 1, 1 } };
    scenario.capacity = 40;
    scenario.demand = 0.5;
    scenario.surgeDemand = 0.5;
    scenario.lastServiceFails = true;
    scenario.resends = 0;
    scenario.surgeStart = 1s;
    scenario.surgeEnd = 5s;
    scenario.end = 6s;
    const auto with = runScenario(scenario, Mechanisms::All, seed);
    // Three retries at each of 23 hops would take too long to simulate; six hops show the growth.
    scenario.chain.resize(6);
    scenario.hopRetries = 3;
    const auto without = runScenario(scenario, Mechanisms::None, seed);
    print("retry_amplification", with.amplification, "ratio", without.amplification);
}

} // namespace

int main(int argc, char** argv)
{
    const char* folder = argc > 1 ? argv[1] : nullptr;
    for (const auto& deployment : deployments())
        runDeployment(deployment, folder);
    runDeepChain();
    return 0;
}
