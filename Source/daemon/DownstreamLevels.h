#pragma once

#include "core/Time.h"

#include <string>
#include <unordered_map>

namespace shallot {

// Admission levels that answers carried, by the service or route that was called. They fade when no answer confirms them.
class DownstreamLevels {
public:
    explicit DownstreamLevels(Duration memory)
        : m_memory(memory)
    {
    }

    void record(const std::string& name, float level, TimePoint now) { m_levels[name] = { level, now }; }

    // Full for the memory time, then falling to zero over the same time again.
    float level(const std::string& name, TimePoint now) const
    {
        const auto found = m_levels.find(name);
        if (found == m_levels.end())
            return 0;
        const double age = toSeconds(now - found->second.time) / toSeconds(m_memory);
        if (age <= 1)
            return found->second.level;
        return age >= 2 ? 0 : found->second.level * static_cast<float>(2 - age);
    }

private:
    struct Entry {
        float level { 0 };
        TimePoint time {};
    };

    Duration m_memory;
    std::unordered_map<std::string, Entry> m_levels;
};

} // namespace shallot
