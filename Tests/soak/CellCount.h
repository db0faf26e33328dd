#pragma once

#include "core/Time.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace shallot {

// Which combinations of planned work and requests at work a soak has met. A cell is a pair of two dimensions' values.
namespace cells {

enum class Who : uint8_t { Entry, Backend, Both, OneTwice, Reload, Configuration }; // Ends; the last two: nobody does
enum class Where : uint8_t { HalfSent, Read, OnTheWay, Running, AnswerHalfSent, Behind };
enum class Maker : uint8_t { Caller, OwnRun, OtherRun }; // A run that the daemon which takes the call has taken itself, or not
enum class Client : uint8_t { Kept, HalfClosed, Gone, BackAtOnce, Slow };
enum class When : uint8_t { Early, ToHalf, ToLastSixth, LastSixth, AfterRestart };

struct Moment {
    Who who { Who::Entry };
    Where where { Where::HalfSent };
    Maker maker { Maker::Caller };
    Client client { Client::Kept };
    When when { When::Early };
};

// Of a shutdown time of 6 s these are 0 to 2.6, to 3, to 5 and to 6 s after the signal.
When whenOf(Duration sinceSignal, Duration shutdownTime);

} // namespace cells

class CellCount {
public:
    void add(const cells::Moment&);

    size_t met() const { return m_met.size(); }
    // That can be reached.
    static size_t total();
    // The names of those that were not met.
    std::vector<std::string> missing() const;

    // A pair of dimensions and their values.
    using Cell = std::array<uint8_t, 4>;

private:
    std::map<Cell, size_t> m_met;
};

} // namespace shallot
