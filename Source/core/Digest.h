#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

// SHA-256 of the text as 64 lower-case hexadecimal digits. API keys are stored and compared only in this form.
std::string sha256Hex(std::string_view);
// HMAC-SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string hmacHex(std::string_view secret, std::string_view text);
// Compares two texts in a time that depends only on their lengths.
bool equalConstantTime(std::string_view, std::string_view);
// 64-bit FNV-1a with a finalizer. Stable across processes and versions, so that all daemons hash a name to the same value. Not
// for secrets.
uint64_t stableHash(std::string_view, uint64_t seed = 0);

} // namespace shallot
