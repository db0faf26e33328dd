#include "net/StatusLineCheck.h"

namespace shallot {

namespace {

// '#': any digit; 'S': the first digit of a status; 'E': the end of the status. Everything else stands for itself.
constexpr std::string_view statusLinePattern = "HTTP/#.# S##E";

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

bool matches(char pattern, char byte)
{
    switch (pattern) {
    case '#':
        return isDigit(byte);
    case 'S':
        return byte >= '1' && byte <= '5';
    case 'E':
        return byte == ' ' || byte == '\r' || byte == '\n';
    default:
        return byte == pattern;
    }
}

} // namespace

bool StatusLineCheck::accept(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (m_position == statusLinePattern.size())
            return true;
        // RFC 9112, 2.2: empty lines in front of a message may be ignored.
        if (!m_position && (byte == '\r' || byte == '\n'))
            continue;
        if (!matches(statusLinePattern[m_position], byte))
            return false;
        ++m_position;
    }
    return true;
}

} // namespace shallot
