#include "claims/ClaimTable.h"

#include "core/JSON.h"

namespace shallot {

namespace {

constexpr int64_t claimRetentionMs = 24LL * 3600 * 1000; // Retried requests are recognised for a day

} // namespace

std::string ClaimTable::compositeKey(const std::string& organisation, const std::string& key)
{
    return std::to_string(organisation.size()) + ":" + organisation + key;
}

void ClaimTable::apply(uint64_t offset, int64_t timeMs, const ClaimEntry& entry)
{
    expire(timeMs);
    const auto name = compositeKey(entry.organisation, entry.key);
    const bool first = m_claims.try_emplace(name, Claim { entry.holder, entry.fingerprint, offset }).second;
    if (first)
        m_byAge.push_back({ timeMs, name, offset });
}

void ClaimTable::apply(const ReleaseEntry& entry)
{
    const auto found = m_claims.find(compositeKey(entry.organisation, entry.key));
    if (found != m_claims.end() && found->second.holder == entry.holder)
        m_claims.erase(found);
}

// Expiry uses only the log service's time, so that all readers drop a claim at the same record.
void ClaimTable::expire(int64_t timeMs)
{
    while (!m_byAge.empty() && m_byAge.front().timeMs + claimRetentionMs < timeMs) {
        const auto found = m_claims.find(m_byAge.front().name);
        if (found != m_claims.end() && found->second.offset == m_byAge.front().offset)
            m_claims.erase(found);
        m_byAge.pop_front();
    }
}

const Claim* ClaimTable::find(const std::string& organisation, const std::string& key) const
{
    const auto found = m_claims.find(compositeKey(organisation, key));
    return found == m_claims.end() ? nullptr : &found->second;
}

std::string ClaimTable::serialize() const
{
    JSONWriter writer;
    writer.beginObject().beginArray("claims");
    for (const auto& aged : m_byAge) {
        const auto found = m_claims.find(aged.name);
        if (found == m_claims.end() || found->second.offset != aged.offset)
            continue;
        writer.beginObject().add("name", aged.name).add("timeMs", aged.timeMs).add("offset", aged.offset);
        writer.add("holder", found->second.holder).add("fingerprint", std::to_string(found->second.fingerprint)).endObject();
    }
    writer.endArray().endObject();
    return writer.finish();
}

bool ClaimTable::restore(std::string_view text)
{
    const auto root = parseJSONObject(text);
    JsonArray* claims = root ? jsonArray(json_node_get_object(root.get()), "claims") : nullptr;
    if (!claims)
        return false;
    m_claims.clear();
    m_byAge.clear();
    for (unsigned i = 0; i < json_array_get_length(claims); ++i) {
        JsonObject* item = jsonObjectAt(claims, i);
        const auto name = jsonString(item, "name");
        const auto offset = jsonInteger<uint64_t>(item, "offset");
        m_claims[name] = { jsonString(item, "holder"), std::stoull(jsonString(item, "fingerprint", "0")), offset };
        m_byAge.push_back({ jsonInteger<int64_t>(item, "timeMs"), name, offset });
    }
    return true;
}

} // namespace shallot
