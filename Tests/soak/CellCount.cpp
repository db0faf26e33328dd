#include "CellCount.h"

#include <algorithm>

namespace shallot {

namespace {

enum Dimension : uint8_t { WhoEnds, WhereItIs, MadeBy, ClientIs, WhenItIs };

struct Values {
    const char* name { "" };
    std::vector<const char*> names;
};

const std::array<Values, 5>& dimensions()
{
    static const std::array<Values, 5> values { {
        { "who ends", { "entry", "backend server's", "both", "one twice", "reload", "configuration" } },
        { "where", { "half sent", "read", "on the way", "running", "answer half sent", "behind another" } },
        { "maker", { "caller", "own run", "other run" } },
        { "client", { "kept", "half-closed", "gone", "back at once", "slow" } },
        { "when", { "early", "to half", "to the last sixth", "last sixth", "after the restart" } },
    } };
    return values;
}

constexpr std::array<std::array<uint8_t, 2>, 5> pairs { { { WhoEnds, WhereItIs }, { WhoEnds, WhenItIs }, { WhereItIs, WhenItIs },
    { ClientIs, WhenItIs }, { MadeBy, WhoEnds } } };

template <typename Value> constexpr uint8_t number(Value value)
{
    return static_cast<uint8_t>(value);
}

// Why no request of the soak can meet a cell; null: it can.
const char* unreachableBecause(const CellCount::Cell& cell)
{
    using namespace cells;
    const auto [first, value, second, other] = cell;
    const auto isNobody = [](uint8_t who) { return who >= number(Who::Reload); };
    if (first != WhoEnds)
        return nullptr;
    const bool needsBackend = value == number(Who::Backend) || value == number(Who::Both);
    const bool isPassedOn
        = other == number(Where::OnTheWay) || other == number(Where::Running) || other == number(Where::AnswerHalfSent);
    if (second == WhereItIs && needsBackend && !isPassedOn)
        return "its backend server is chosen when it is passed on";
    if (second == WhenItIs && isNobody(value) && other == number(When::AfterRestart))
        return "no process ends";
    return nullptr;
}

uint8_t valuesOf(uint8_t dimension)
{
    return static_cast<uint8_t>(dimensions()[dimension].names.size());
}

std::vector<CellCount::Cell> reachableCells()
{
    std::vector<CellCount::Cell> all;
    for (const auto [first, second] : pairs) {
        for (uint8_t value = 0; value < valuesOf(first); ++value) {
            for (uint8_t other = 0; other < valuesOf(second); ++other) {
                const CellCount::Cell cell { first, value, second, other };
                if (!unreachableBecause(cell))
                    all.push_back(cell);
            }
        }
    }
    return all;
}

std::string nameOf(uint8_t dimension, uint8_t value)
{
    return std::string(dimensions()[dimension].name) + ": " + dimensions()[dimension].names[value];
}

} // namespace

cells::When cells::whenOf(Duration sinceSignal, Duration shutdownTime)
{
    constexpr double early = 2.6 / 6; // Until then callers get their new requests answered as usual
    const auto share = toSeconds(sinceSignal) / toSeconds(shutdownTime);
    return share < early ? When::Early : share < 0.5 ? When::ToHalf : share < 5.0 / 6 ? When::ToLastSixth : When::LastSixth;
}

void CellCount::add(const cells::Moment& moment)
{
    const std::array<uint8_t, 5> values { number(moment.who), number(moment.where), number(moment.maker), number(moment.client),
        number(moment.when) };
    for (const auto [first, second] : pairs) {
        const Cell cell { first, values[first], second, values[second] };
        if (!unreachableBecause(cell))
            ++m_met[cell];
    }
}

size_t CellCount::total()
{
    return reachableCells().size();
}

std::vector<std::string> CellCount::missing() const
{
    std::vector<std::string> names;
    for (const auto& cell : reachableCells()) {
        if (!m_met.count(cell))
            names.push_back(nameOf(cell[0], cell[1]) + ", " + nameOf(cell[2], cell[3]));
    }
    return names;
}

} // namespace shallot
