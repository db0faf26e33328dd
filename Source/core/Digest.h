#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shallot {

// SHA-256 of the text as 64 lower-case hexadecimal digits. Keys are stored and compared only in this form.
std::string sha256Hex(std::string_view);
// HMAC-SHA-256 of the text as hexadecimal digits.
std::string hmacHex(std::string_view secret, std::string_view text);
// Compares in time that depends only on the lengths.
bool equalConstantTime(std::string_view, std::string_view);
// 64-bit FNV-1a with a final mix; stable over processes and versions, so all daemons place a name alike. Not for secrets.
uint64_t stableHash(std::string_view, uint64_t seed = 0);

} // namespace shallot
