#include "OverloadModel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shallot {

namespace {

constexpr auto tickInterval = 5ms;
constexpr auto networkDelay = 500us;
constexpr auto bucketWidth = 100ms; // Of the timeline

// One attempt of a call at one service. The attempt that made the call waits for it.
struct Attempt : QueueItem {
    RequestContext context;
    size_t service { 0 };
    TimePoint arrived {};
    RetryTokens tokens;
    int hopRetriesLeft { 0 };
    float downstreamLevel { 0 };
    bool running { false };
    std::function<void(bool served, bool ran, uint16_t tokens, float level)> done;
};

using AttemptPtr = std::shared_ptr<Attempt>;

struct Endpoint {
    Endpoint(const PolicySettings& settings, uint32_t endpointSlots)
        : level(settings)
        , limit(settings)
        , slots(endpointSlots)
    {
        limit.restart(endpointSlots, TimePoint());
    }

    AdmissionLevel level;
    ConcurrencyLimit limit;
    RequestQueue queue;
    std::queue<AttemptPtr> fifo; // Used without Mechanisms::Queue
    uint32_t slots;
    uint32_t running { 0 };
};

class Model {
public:
    Model(const Scenario& scenario, Mechanisms mechanisms, uint32_t seed)
        : m_scenario(scenario)
        , m_mechanisms(mechanisms)
        , m_random(seed)
        , m_levels(m_settings.levelLifetime)
        , m_retryBudget(m_settings.retryDepositPerSuccess, m_settings.retryBalanceMaximum)
        , m_servedByOrganisation(scenario.organisations)
        , m_sentByOrganisation(scenario.organisations)
    {
        for (const auto& shape : scenario.chain) {
            m_endpoints.emplace_back();
            for (uint32_t i = 0; i < shape.endpoints; ++i)
                m_endpoints.back().push_back(std::make_unique<Endpoint>(m_settings, shape.slots));
        }
        // The rate of each organisation's plan is 10% above what a normal (not noisy) organisation sends in the surge.
        const double senders = scenario.organisations - 1 + std::max<uint32_t>(1, scenario.noisyOrganisationFactor);
        const double rate = 1.1 * scenario.capacity * scenario.surgeDemand / senders;
        m_limits.assign(scenario.organisations, { rate, rate, rate, TimePoint() });
        m_result.timeline.resize(static_cast<size_t>(scenario.end / bucketWidth) + 1);
    }

    ScenarioResult run()
    {
        at(TimePoint() + tickInterval, [this] { tick(); });
        scheduleArrival();
        while (!m_events.empty() && m_events.top().time <= TimePoint() + m_scenario.end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        return finish();
    }

private:
    struct Event {
        TimePoint time {};
        uint64_t order { 0 };
        std::function<void()> run;

        bool operator<(const Event& other) const { return time != other.time ? time > other.time : order > other.order; }
    };

    struct Request {
        RequestContext context;
        size_t classIndex { 0 };
        uint32_t organisation { 0 };
        TimePoint sentAt {};
        int resendsLeft { 0 };
        bool inSurge { false };
    };

    void at(TimePoint time, std::function<void()> run) { m_events.push({ time, m_order++, std::move(run) }); }
    bool surging(TimePoint time) const
    {
        return time >= TimePoint() + m_scenario.surgeStart && time < TimePoint() + m_scenario.surgeEnd;
    }
    double uniform() { return static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max()); }

    void tick()
    {
        for (auto& service : m_endpoints) {
            for (auto& endpoint : service) {
                endpoint->limit.tick(m_now);
                endpoint->level.tick(m_now, endpoint->queue.size(), endpoint->slots, endpoint->running < endpoint->slots);
                for (auto* expired : endpoint->queue.takeExpired(m_now))
                    respond(m_attempts.at(expired->id), false, false, endpoint->level.level());
            }
        }
        at(m_now + tickInterval, [this] { tick(); });
    }

    // Callers

    void scheduleArrival()
    {
        const double rate = m_scenario.capacity * (surging(m_now) ? m_scenario.surgeDemand : m_scenario.demand);
        const double wait = -std::log(std::max(1e-12, uniform())) / rate;
        at(m_now + fromSeconds(wait), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        auto request = std::make_shared<Request>();
        double pick = uniform();
        while (request->classIndex + 1 < m_scenario.classes.size() && pick >= m_scenario.classes[request->classIndex].share)
            pick -= m_scenario.classes[request->classIndex++].share;
        const uint32_t noisy = std::max<uint32_t>(1, m_scenario.noisyOrganisationFactor);
        const auto ticket = static_cast<uint32_t>(m_random() % (m_scenario.organisations - 1 + noisy));
        request->organisation = ticket < noisy ? 0 : ticket - noisy + 1;
        request->resendsLeft = m_scenario.resends;
        request->inSurge = surging(m_now);
        m_sentInSurge[request->classIndex] += request->inSurge ? 1 : 0;
        m_sentByOrganisation[request->organisation] += request->inSurge ? 1 : 0;
        send(request);
    }

    void send(const std::shared_ptr<Request>& request)
    {
        request->sentAt = m_now;
        auto& context = request->context;
        context.id = { (uint64_t { m_random() } << 32) | m_random(), m_random() };
        context.organisation = "organisation" + std::to_string(request->organisation);
        context.priority = m_scenario.classes[request->classIndex].priority;
        context.retryTokens = has(m_mechanisms, Mechanisms::RetryControl) ? m_settings.retryTokens : 0;
        context.score = m_scores.score(context.priority, context.organisation, context.id, m_now);
        const float score = context.score;
        m_ingressRequests += request->inSurge ? 1 : 0;
        if (has(m_mechanisms, Mechanisms::IngressShedding) && score < m_levels.level("chain", m_now)) {
            at(m_now + networkDelay, [this, request] { onResponse(request, false); });
            return;
        }
        // As in the daemon, a request that is shed at ingress consumes no token of its organisation's limit.
        if (has(m_mechanisms, Mechanisms::Limits) && !m_limits[request->organisation].tryTake(m_now)) {
            at(m_now + networkDelay, [this, request] { onResponse(request, false); });
            return;
        }
        call(0, context, m_now + m_scenario.timeLimit, m_scenario.hopRetries,
            [this, request](bool served, bool, uint16_t, float level) {
                m_levels.record("chain", level, m_now);
                onResponse(request, served);
            });
    }

    void onResponse(const std::shared_ptr<Request>& request, bool served)
    {
        const bool inTime = served && m_now <= request->sentAt + m_scenario.timeLimit;
        if (inTime) {
            const auto bucket = static_cast<size_t>((m_now - TimePoint()) / bucketWidth);
            if (bucket < m_result.timeline.size())
                m_result.timeline[bucket] += 1;
            if (surging(m_now))
                m_weightedServed += m_scenario.classes[request->classIndex].weight;
            m_unweightedServed += surging(m_now) ? 1 : 0;
            m_servedInSurge[request->classIndex] += request->inSurge ? 1 : 0;
            m_servedByOrganisation[request->organisation] += request->inSurge ? 1 : 0;
            return;
        }
        if (request->resendsLeft-- > 0)
            at(m_now + 1ms, [this, request] { send(request); });
    }

    // Services

    using Done = std::function<void(bool served, bool ran, uint16_t tokens, float level)>;

    void call(size_t service, const RequestContext& context, TimePoint deadline, int hopRetries, Done done)
    {
        auto attempt = std::make_shared<Attempt>();
        attempt->id = m_nextID++;
        attempt->context = context;
        attempt->priority = context.priority;
        attempt->organisation = context.organisation;
        attempt->deadline = deadline;
        attempt->service = service;
        attempt->tokens = RetryTokens(context.retryTokens);
        attempt->hopRetriesLeft = hopRetries;
        attempt->done = std::move(done);
        m_attempts[attempt->id] = attempt;
        at(m_now + networkDelay, [this, attempt] { arriveAtService(attempt); });
    }

    Endpoint& leastLoaded(size_t service)
    {
        auto& endpoints = m_endpoints[service];
        auto& a = *endpoints[m_random() % endpoints.size()];
        auto& b = *endpoints[m_random() % endpoints.size()];
        return a.running + a.queue.size() + a.fifo.size() <= b.running + b.queue.size() + b.fifo.size() ? a : b;
    }

    void arriveAtService(const AttemptPtr& attempt)
    {
        auto& endpoint = leastLoaded(attempt->service);
        attempt->arrived = m_now;
        const float score = attempt->context.score;
        endpoint.level.recordArrival(score);
        if (has(m_mechanisms, Mechanisms::Levels) && !endpoint.level.admits(score)) {
            respond(attempt, false, false, endpoint.level.level());
            return;
        }
        if (!has(m_mechanisms, Mechanisms::Queue)) {
            endpoint.fifo.push(attempt);
        } else {
            const auto bound
                = std::max(m_settings.minimumQueueLength, static_cast<size_t>(endpoint.slots * m_settings.queueLengthPerSlot));
            if (endpoint.queue.size() >= bound) {
                auto* victim = endpoint.queue.evictionCandidate();
                if (victim->priority >= attempt->priority) {
                    respond(attempt, false, false, endpoint.level.level());
                    return;
                }
                endpoint.queue.remove(*victim);
                respond(m_attempts.at(victim->id), false, false, endpoint.level.level());
            }
            endpoint.queue.push(*attempt);
        }
        dispatch(endpoint);
    }

    void dispatch(Endpoint& endpoint)
    {
        while (endpoint.running < endpoint.slots) {
            AttemptPtr next;
            if (has(m_mechanisms, Mechanisms::Queue)) {
                auto* item = endpoint.queue.pop();
                if (!item)
                    return;
                next = m_attempts.at(item->id);
                if (next->deadline <= m_now) {
                    respond(next, false, false, endpoint.level.level());
                    continue;
                }
            } else {
                if (endpoint.fifo.empty())
                    return;
                next = endpoint.fifo.front();
                endpoint.fifo.pop();
            }
            runAttempt(endpoint, next);
        }
    }

    void runAttempt(Endpoint& endpoint, const AttemptPtr& attempt)
    {
        ++endpoint.running;
        const auto& shape = m_scenario.chain[attempt->service];
        const bool isLast = attempt->service + 1 == m_scenario.chain.size();
        const bool degraded = isLast && surging(m_now);
        m_lastServiceRuns += degraded ? 1 : 0;
        const double work = shape.workMs * (degraded ? m_scenario.slowdownFactor : 1) * (0.5 + uniform());
        at(m_now + fromSeconds(work / 1000), [this, &endpoint, attempt, isLast, degraded] {
            if (isLast)
                end(endpoint, attempt, !(degraded && m_scenario.lastServiceFails));
            else
                makeNestedCall(endpoint, attempt);
        });
    }

    void makeNestedCall(Endpoint& endpoint, const AttemptPtr& attempt)
    {
        RequestContext context = attempt->context;
        const uint16_t allocated = has(m_mechanisms, Mechanisms::RetryControl) ? attempt->tokens.allocate() : 0;
        context.retryTokens = allocated;
        call(attempt->service + 1, context, attempt->deadline, m_scenario.hopRetries,
            [this, &endpoint, attempt, allocated](bool served, bool ran, uint16_t tokens, float level) {
                attempt->tokens.reclaim(allocated, tokens);
                attempt->downstreamLevel = std::max(attempt->downstreamLevel, level);
                if (!served && mayRetry(*attempt, ran)) {
                    makeNestedCall(endpoint, attempt);
                    return;
                }
                if (served)
                    m_retryBudget.recordSuccess();
                end(endpoint, attempt, served);
            });
    }

    bool mayRetry(Attempt& attempt, bool ran)
    {
        if (!has(m_mechanisms, Mechanisms::RetryControl))
            return attempt.hopRetriesLeft-- > 0;
        return ran && attempt.deadline > m_now && attempt.tokens.remaining() && m_retryBudget.tryTake()
            && attempt.tokens.tryTake();
    }

    void end(Endpoint& endpoint, const AttemptPtr& attempt, bool served)
    {
        --endpoint.running;
        endpoint.level.recordCompletion();
        respond(attempt, served, true, std::max(endpoint.level.level(), attempt->downstreamLevel));
        dispatch(endpoint);
    }

    // By value: the argument may refer to the entry of m_attempts that is erased here.
    void respond(AttemptPtr attempt, bool served, bool ran, float level) // NOLINT(performance-unnecessary-value-param)
    {
        m_attempts.erase(attempt->id);
        at(m_now + networkDelay,
            [attempt, served, ran, level] { attempt->done(served, ran, attempt->tokens.remaining(), level); });
    }

    // Results

    ScenarioResult finish()
    {
        const double seconds = toSeconds(m_scenario.surgeEnd - m_scenario.surgeStart);
        const double surgeCapacity
            = m_scenario.capacity / (m_scenario.lastServiceFails ? 1 : std::max(1.0, lastServiceSlowdown()));
        m_result.goodput = m_weightedServed / maximumWeightedValue(surgeCapacity * seconds);
        m_result.unweightedGoodput = m_unweightedServed / (surgeCapacity * seconds);
        m_result.topClassSuccess = m_sentInSurge[0] ? m_servedInSurge[0] / m_sentInSurge[0] : 1;
        m_result.amplification = m_ingressRequests ? m_lastServiceRuns / m_ingressRequests : 0;
        m_result.recoverySeconds = recoverySeconds();
        const double servedTotal = std::accumulate(m_servedByOrganisation.begin(), m_servedByOrganisation.end(), 0.0);
        const double fair = servedTotal / static_cast<double>(m_scenario.organisations);
        m_result.worstOrganisationRatio = 1;
        for (size_t i = 0; i < m_servedByOrganisation.size(); ++i) {
            const double due = std::min(fair, m_sentByOrganisation[i]);
            if (due > 0)
                m_result.worstOrganisationRatio = std::min(m_result.worstOrganisationRatio, m_servedByOrganisation[i] / due);
        }
        return m_result;
    }

    // Healthy capacity of the chain over its capacity with the last service slowed down.
    double lastServiceSlowdown() const
    {
        auto chain = m_scenario.chain;
        chain.back().workMs *= m_scenario.slowdownFactor;
        return m_scenario.capacity / healthyCapacity(chain);
    }

    // Total weight of the most important requests that the capacity can serve; at least 1.
    double maximumWeightedValue(double requests) const
    {
        double weightedValue = 0;
        for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
            const double taken = std::min(requests, m_sentInSurge[i]);
            weightedValue += taken * m_scenario.classes[i].weight;
            requests -= taken;
        }
        return std::max(1.0, weightedValue);
    }

    double recoverySeconds() const
    {
        const auto first = static_cast<size_t>(m_scenario.surgeEnd / bucketWidth);
        const double wanted = 0.95 * m_scenario.capacity * m_scenario.demand * toSeconds(bucketWidth);
        constexpr size_t steady = 5; // 500 ms at the demand count as recovered
        for (size_t i = first; i + steady <= m_result.timeline.size(); ++i) {
            const double delivered = std::accumulate(m_result.timeline.begin() + static_cast<ptrdiff_t>(i),
                m_result.timeline.begin() + static_cast<ptrdiff_t>(i + steady), 0.0);
            if (delivered >= wanted * steady)
                return static_cast<double>(i - first) * toSeconds(bucketWidth);
        }
        return toSeconds(m_scenario.end - m_scenario.surgeEnd);
    }

    const Scenario& m_scenario;
    Mechanisms m_mechanisms;
    PolicySettings m_settings;
    std::mt19937 m_random;
    FairScore m_scores;
    DownstreamLevels m_levels;
    RetryBudget m_retryBudget;
    std::vector<std::vector<std::unique_ptr<Endpoint>>> m_endpoints;
    std::unordered_map<uint64_t, AttemptPtr> m_attempts;
    std::priority_queue<Event> m_events;
    TimePoint m_now {};
    uint64_t m_order { 0 };
    uint64_t m_nextID { 1 };
    double m_weightedServed { 0 };
    double m_unweightedServed { 0 };
    double m_ingressRequests { 0 };
    double m_lastServiceRuns { 0 };
    double m_sentInSurge[priorityClasses] {};
    double m_servedInSurge[priorityClasses] {};
    std::vector<TokenBucket> m_limits; // By organisation
    std::vector<double> m_servedByOrganisation;
    std::vector<double> m_sentByOrganisation;
    ScenarioResult m_result;
};

} // namespace

double healthyCapacity(const std::vector<ServiceShape>& chain)
{
    // A request occupies a slot for its own service time and for all nested calls.
    double capacity = 1e12;
    double heldMs = 0;
    for (size_t i = chain.size(); i-- > 0;) {
        heldMs += chain[i].workMs;
        capacity = std::min(capacity, chain[i].endpoints * chain[i].slots * 1000.0 / heldMs);
        heldMs += 1;
    }
    return capacity;
}

ScenarioResult runScenario(const Scenario& scenario, Mechanisms mechanisms, uint32_t seed)
{
    Scenario filled = scenario;
    if (filled.capacity <= 0)
        filled.capacity = healthyCapacity(filled.chain);
    return Model(filled, mechanisms, seed).run();
}

} // namespace shallot
