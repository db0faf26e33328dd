// Random lives of the backend servers at one address, with late, repeated and foreign announcements and leaves and with restarts
// of the daemon, against an oracle that knows what really runs there.

#include "mesh/EndpointLife.h"
#include "mesh/MeshSettings.h"

#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace shallot {
namespace {

constexpr auto announcementInterval = 1500ms;
constexpr auto probeDuration = 5ms;
constexpr uint64_t firstStart = 1'000'000;      // Milliseconds since 1970
constexpr uint64_t startOfOthers = 900'000'000; // Later than that of any run here

enum class Event : uint8_t {
    Announce,         // In order, answered by a probe if one is needed
    AnnounceUnprobed, // The same while the health endpoint does not answer
    RepeatOld,        // Any earlier announcement of any run arrives again
    Foreign,          // Of another writer: right address, known service, later start
    Replace,          // The next run, of any service, under a new name
    RestartSameName,  // The next run under the same name
    Drain,
    Leave,
    RepeatLeave, // Any earlier leave arrives again
    Crash,       // A connection is refused
    RestartDaemon,
};

struct Step {
    Event event { Event::Announce };
    uint8_t choice { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    static const char* names[] = { "Announce", "AnnounceUnprobed", "RepeatOld", "Foreign", "Replace", "RestartSameName", "Drain",
        "Leave", "RepeatLeave", "Crash", "RestartDaemon" };
    return stream << names[static_cast<size_t>(step.event)] << ' ' << static_cast<unsigned>(step.choice);
}

struct Run {
    std::string instance;
    std::string service;
    uint64_t startedAt { 0 };
    uint64_t sequence { 0 };
    bool left { false };
    bool draining { false };
};

const std::string services[] = { "alpha", "beta" };

// The daemon's belief beside the truth.
class LifeModel {
public:
    LifeModel()
        : m_life(std::in_place, m_settings, services[0])
    {
        startRun("run-1", services[0]);
        m_life->setFormerLeave({});
    }

    void apply(const Step& step)
    {
        m_now += 300ms;
        m_wallMs += 300;
        switch (step.event) {
        case Event::Announce:
            announce(true);
            break;
        case Event::AnnounceUnprobed:
            announce(false);
            break;
        case Event::RepeatOld:
            if (!m_sent.empty())
                receive(m_sent[step.choice % m_sent.size()], true);
            break;
        case Event::Foreign: {
            auto foreign = announcementOf(m_run);
            foreign.instance = "foreign-" + std::to_string(step.choice);
            foreign.service = services[step.choice % 2];
            foreign.startedAt = startOfOthers + step.choice;
            foreign.sequence = ++m_foreignSequence;
            receive(foreign, true);
            announce(true); // The one that runs there continues to announce itself
            break;
        }
        case Event::Replace:
            startRun("run-" + std::to_string(++m_runs), services[step.choice % 2]);
            break;
        case Event::RestartSameName:
            startRun(m_run.instance, m_run.service);
            break;
        case Event::Drain:
            m_run.draining = true;
            announce(true);
            break;
        case Event::Leave:
            m_run.left = true;
            leave(m_run.instance, m_run.startedAt);
            break;
        case Event::RepeatLeave:
            if (!m_leaves.empty()) {
                const auto& [instance, startedAt] = m_leaves[step.choice % m_leaves.size()];
                recordLeave(instance, startedAt);
                m_run.left = m_run.left || (instance == m_run.instance && startedAt == m_run.startedAt);
            }
            break;
        case Event::Crash:
            m_life->recordUnreachable();
            break;
        case Event::RestartDaemon:
            m_stored = m_life->currentLeave().instance.empty() ? m_stored : m_life->currentLeave();
            m_life.emplace(m_settings, services[0]);
            m_life->setFormerLeave(m_stored);
            // Only the leave of the run in use is stored.
            std::erase_if(m_acknowledged, [this](const auto& run) { return !m_stored.covers(run.first, run.second); });
            m_run.left = m_stored.covers(m_run.instance, m_run.startedAt);
            break;
        }
        check();
    }

    // After the last event the belief agrees with the truth within two announcements.
    void settle()
    {
        for (int i = 0; i < 2; ++i) {
            m_now += announcementInterval;
            m_wallMs += 1500;
            announce(true);
        }
        check();
        RC_ASSERT(m_life->isAvailable(m_now) == !(m_run.left || m_run.draining));
        if (m_life->isAvailable(m_now)) {
            RC_ASSERT(m_life->current().instance == m_run.instance);
            RC_ASSERT(m_life->current().startedAt == m_run.startedAt);
        }
        // A run that drains is not healthy, so it may stay unverified; then the configured service counts.
        if (m_life->isVerified())
            RC_ASSERT(m_life->service() == m_run.service);
    }

private:
    EndpointAnnouncement announcementOf(const Run& run) const
    {
        EndpointAnnouncement announcement;
        announcement.instance = run.instance;
        announcement.service = run.service;
        announcement.startedAt = run.startedAt;
        announcement.sequence = run.sequence;
        announcement.draining = run.draining;
        return announcement;
    }

    void startRun(std::string instance, std::string service)
    {
        m_wallMs += 1;
        m_run = { std::move(instance), std::move(service), m_wallMs, 0, false, false };
    }

    void announce(bool probeAnswers)
    {
        ++m_run.sequence;
        m_sent.push_back(announcementOf(m_run));
        receive(m_sent.back(), probeAnswers);
    }

    void receive(const EndpointAnnouncement& announcement, bool probeAnswers)
    {
        m_life->recordAnnouncement(announcement, m_now);
        if (m_life->hasLeft())
            m_acknowledged.insert({ m_life->current().instance, m_life->current().startedAt });
        if (!m_life->needsProbe() || !probeAnswers)
            return;
        const auto sentAt = m_now;
        m_now += probeDuration;
        // The health endpoint is not healthy while draining.
        if (!m_run.draining)
            m_life->recordProbe(m_run.instance, 4, sentAt, m_now);
    }

    void leave(const std::string& instance, uint64_t startedAt)
    {
        m_leaves.emplace_back(instance, startedAt);
        recordLeave(instance, startedAt);
    }

    void recordLeave(const std::string& instance, uint64_t startedAt)
    {
        const auto nameStarts = m_life->current().instance == instance ? m_life->current().startedAt : startedAt;
        m_life->recordLeave(instance, startedAt, m_wallMs);
        if (startedAt >= nameStarts)
            m_acknowledged.insert({ instance, startedAt });
    }

    void check()
    {
        // Only services that a run here really had, or the configured one.
        m_trueServices.insert({ m_run.instance, m_run.service });
        if (m_life->isAnnounced() && m_life->isVerified()) {
            RC_ASSERT(!m_life->current().instance.starts_with("foreign"));
            const auto found = m_trueServices.find({ m_life->current().instance, m_life->service() });
            RC_ASSERT(found != m_trueServices.end());
        } else {
            RC_ASSERT(m_life->service() == services[0]);
        }
        // A run whose leave was acknowledged never returns to use.
        const auto current = std::pair { m_life->current().instance, m_life->current().startedAt };
        if (m_life->isAvailable(m_now))
            RC_ASSERT(!m_acknowledged.contains(current));
    }

    MeshSettings m_settings;
    std::optional<EndpointLife> m_life;
    TimePoint m_now { 1000s };
    uint64_t m_wallMs { firstStart };
    Run m_run;
    unsigned m_runs { 1 };
    uint64_t m_foreignSequence { 0 };
    std::vector<EndpointAnnouncement> m_sent;
    std::vector<std::pair<std::string, uint64_t>> m_leaves;
    EndpointLeave m_stored;
    std::set<std::pair<std::string, uint64_t>> m_acknowledged;
    std::set<std::pair<std::string, std::string>> m_trueServices;
};

} // namespace
} // namespace shallot

namespace rc {

template <> struct Arbitrary<shallot::Step> {
    static Gen<shallot::Step> arbitrary()
    {
        return gen::build<shallot::Step>(
            gen::set(&shallot::Step::event,
                gen::map(gen::resize(kNominalSize, gen::inRange(0, static_cast<int>(shallot::Event::RestartDaemon) + 1)),
                    [](int value) { return static_cast<shallot::Event>(value); })),
            gen::set(&shallot::Step::choice));
    }
};

} // namespace rc

namespace shallot {
namespace {

RC_GTEST_PROP(EndpointLifeFuzz, TheBeliefAgreesWithWhatRunsThereAndALeaveIsFinal, (const std::vector<Step>& steps))
{
    LifeModel model;
    for (const auto& step : steps)
        model.apply(step);
    model.settle();
}

} // namespace
} // namespace shallot
