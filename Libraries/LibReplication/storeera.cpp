#include <LibReplication/storeera.h>

#include <charconv>

namespace Trefoil
{

std::optional<StoreEra> parseStoreEra(std::string_view value)
{
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [next, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || next != end) {
        return std::nullopt;
    }
    return StoreEra(number);
}

bool isBefore(const StorePosition &a, const StorePosition &b)
{
    return a.era < b.era || (a.era == b.era && a.version < b.version);
}

AnswerUse useOfChanges(const AnswerEras &eras, StoreEra answer)
{
    if (answer < eras.known) {
        return AnswerUse::Ignore;
    }
    if (answer > eras.copy) {
        return AnswerUse::ReadInFull;
    }
    // Changes after a version of an earlier era leave out those between the copy and that version.
    return eras.request == answer ? AnswerUse::Apply : AnswerUse::Ignore;
}

AnswerUse useOfTable(const StorePosition &copy, StoreEra known, const StorePosition &answer)
{
    return answer.era < known || isBefore(answer, copy) ? AnswerUse::Ignore : AnswerUse::Apply;
}

RequestUse useOfRequest(StoreEra copy, const StorePosition &after)
{
    const bool isWholeTable = after.version == 0;
    return after.era == copy || (isWholeTable && after.era < copy) ? RequestUse::Serve : RequestUse::Reject;
}

} // namespace Trefoil
