#pragma once

#include "core/Time.h"

#include <string>
#include <unordered_map>

namespace shallot {

// Admission levels that responses reported, by the called service or route. A level decays when no response confirms it.
class DownstreamLevels {
public:
    explicit DownstreamLevels(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    void record(const std::string& name, float level, TimePoint now) { m_levels[name] = { level, now }; }

    // The reported level during its lifetime, then falling linearly to 0 over the same time again.
    float level(const std::string& name, TimePoint now) const
    {
        const auto found = m_levels.find(name);
        if (found == m_levels.end())
            return 0;
        const double age = toSeconds(now - found->second.time) / toSeconds(m_lifetime);
        if (age <= 1)
            return found->second.level;
        return age >= 2 ? 0 : found->second.level * static_cast<float>(2 - age);
    }

private:
    struct Entry {
        float level { 0 };
        TimePoint time {};
    };

    Duration m_lifetime;
    std::unordered_map<std::string, Entry> m_levels;
};

} // namespace shallot
