#include "core/Digest.h"

#include <glib.h>

namespace shallot {

namespace {

std::string takeText(char* text)
{
    std::string result(text ? text : "");
    g_free(text);
    return result;
}

const guchar* bytesOf(std::string_view text)
{
    return reinterpret_cast<const guchar*>(text.data());
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    return takeText(g_compute_checksum_for_data(G_CHECKSUM_SHA256, bytesOf(text), text.size()));
}

std::string hmacHex(std::string_view secret, std::string_view text)
{
    return takeText(g_compute_hmac_for_data(G_CHECKSUM_SHA256, bytesOf(secret), secret.size(), bytesOf(text), text.size()));
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (size_t i = 0; i < a.size(); ++i)
        difference = static_cast<unsigned char>(difference | (a[i] ^ b[i]));
    return !difference;
}

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    uint64_t hash = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace shallot
