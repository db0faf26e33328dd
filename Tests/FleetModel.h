#pragma once

#include "config/ConfigurationIndex.h"
#include "limits/LimitSystem.h"
#include "log/AppendQueue.h"
#include "log/FleetState.h"
#include "standins/LogStore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shallot {

// Simulates a small fleet of LimitSystems with a fake network and log, in simulated time: three zones of three daemons, and one
// organisation whose callers by default send three times its rate, spread over all daemons.
class FleetModel {
public:
    enum class Fault : int {
        None,
        IsolateZone,     // Separates a zone from the other zones and from the log
        IsolateInstance, // Separates a daemon from all others and from the log
        IsolateFromLog,  // Separates a daemon from the log only
        HealAll,
        LogDown,
        LogUp,
        LoseAcknowledgements,
        LoseMessages,  // From now on a third of the messages is lost, at random
        DelayMessages, // From now on messages take up to a second
        Pause,         // Stops a daemon until Resume
        Resume,
        Crash, // A daemon ends without notice and is replaced two seconds later
        Leave, // A daemon transfers its partitions, leaves, and is replaced four seconds later
        SmallerPlan,
        LargerPlan,
        ShiftWeights, // Changes the weights of the zones
        Count,
    };

    explicit FleetModel(uint32_t seed);

    static const char* nameOf(Fault);
    // Settings of one daemon, so that a test can disable a mechanism there.
    LimitSettings& settingsOf(size_t daemon) { return *m_daemonSettings[daemon]; }
    static constexpr size_t daemonCount = 9;
    // Index of the daemon that owns the organisation's partition in a zone; daemonCount without one.
    size_t ownerInZone(size_t zone) const;
    void inject(Fault, size_t target);
    void run(Duration);
    // Sets the callers' total demand, as a multiple of the plan's rate, over all daemons or those of the first zone only.
    void setDemand(double demand, bool firstZoneOnly);
    void useDefaultSettings();
    // Step of simulated time; 10 ms or a divisor of it.
    void setStep(Duration step) { m_step = step; }
    // Fraction of the requests since clearCounts() that equal static shares of all daemons would have refused.
    double staticShareRefusedRatio() const;

    uint64_t overruns() const { return m_overruns; }
    uint64_t admitted() const { return m_admitted; }
    uint64_t admittedInZone(size_t zone) const { return m_admittedInZone[zone]; }
    uint64_t refused() const { return m_refused; }
    double allowed() const { return m_allowed; }
    void clearCounts();
    bool allPartitionsOwnedByLiveMembers() const;

private:
    static constexpr size_t zoneCount = 3;
    static constexpr size_t daemonsPerZone = 3;

    struct ModelDaemon {
        std::string member;
        size_t zone { 0 };
        FleetState fleetState;
        std::unique_ptr<AppendQueue> appends;
        std::unique_ptr<LimitSystem> limits;
        ConfigurationIndex index;
        uint64_t indexedRevision { 0 };
        TimePoint confirmedAt {};
        std::map<std::string, TimePoint> lastHeartbeat; // By member; replaces gossip
        Duration clockOffset {};                        // Monotonic clocks of daemons are not aligned
        bool alive { true };
        bool paused { false };
        bool isolated { false };
        bool isolatedFromLog { false };
        bool leaving { false };
        size_t openAppends { 0 };
        double arrivalCredit { 0 };
        std::vector<TimePoint> waiting; // Arrival times of the requests that wait for a loan
        size_t incarnation { 0 };
    };

    struct Message {
        TimePoint due {};
        uint64_t order { 0 };
        size_t from { 0 };
        size_t to { 0 };
        size_t incarnation { 0 };
        std::function<void(ModelDaemon&)> deliver;
    };

    struct DeliveredLater {
        bool operator()(const Message& a, const Message& b) const { return a.due != b.due ? a.due > b.due : a.order > b.order; }
    };

    void startDaemon(size_t index);
    void tickDaemon(size_t index);
    void tickLog(ModelDaemon&);
    void applyActions(size_t index, const OwnershipActions&);
    void send(size_t from, size_t to, std::function<void(ModelDaemon&)>);
    bool canReach(const ModelDaemon&, const ModelDaemon&) const;
    bool canReachLog(const ModelDaemon&) const;
    bool seemsAlive(const ModelDaemon&, const std::string& member) const;
    ModelDaemon* findDaemon(const std::string& member);
    size_t indexOf(const std::string& member) const;
    TimePoint clockOf(const ModelDaemon& daemon) const { return m_now + daemon.clockOffset; }
    void runCallers(ModelDaemon&);
    void countAdmission(ModelDaemon&);
    void edit(const std::function<void(Configuration&)>&);

    LimitSettings m_settings;
    std::vector<std::unique_ptr<LimitSettings>> m_daemonSettings;
    std::mt19937 m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    Duration m_step { std::chrono::milliseconds(10) };
    std::vector<ModelDaemon> m_daemons;
    std::map<size_t, TimePoint> m_restarts;
    std::priority_queue<Message, std::vector<Message>, DeliveredLater> m_messages;
    LogStore m_log;
    FleetState m_referenceState; // Applies every record at once; the base of edits and of checks on ownership
    uint64_t m_editSequence { 0 };
    uint64_t m_nextOrder { 0 };
    bool m_lossy { false };
    bool m_slow { false };

    double m_demand { 3 };
    bool m_firstZoneOnly { false };
    std::vector<TokenBucket> m_staticShares; // By daemon
    uint64_t m_arrivals { 0 };
    uint64_t m_staticRefusals { 0 };
    TokenBucket m_oracle;
    TimePoint m_shrunkAt {};
    uint64_t m_overruns { 0 };
    uint64_t m_admitted { 0 };
    uint64_t m_refused { 0 };
    double m_allowed { 0 };
    uint64_t m_admittedInZone[zoneCount] {};
};

} // namespace shallot
