#pragma once

#include <LibCore/era.h>
#include <LibReplication/feedrow.h>

#include <optional>
#include <string_view>

namespace Trefoil
{

/// A version of the store within its era.
struct StorePosition
{
    StoreEra era;
    FeedVersion version = 0;
};

/// What a host does with an answer of the store or of another host.
enum class AnswerUse {
    /// The answer is older than what is known. It changes nothing and proves nothing.
    Ignore,
    /// The answer belongs to the copy, or replaces it.
    Apply,
    /// The answer shows that the copy is of an older era, and can't be applied to it.
    ReadInFull,
};

/// What a host does with a request of another one for changes.
enum class RequestUse {
    Serve,
    /// The version of the request means nothing in the era of this host's copy.
    Reject,
};

/// Eras that decide about an answer with changes.
struct AnswerEras
{
    /// Of the copy that the changes are for.
    StoreEra copy;
    /// Of the version from which the changes were requested; the copy may have been replaced since.
    StoreEra request;
    /// The highest one that this host knows of.
    StoreEra known;
};

/// Reads the value of the header in which the store states its era; nothing when it is not a whole number. Precondition: none. Thread safety: safe from
/// any thread.
std::optional<StoreEra> parseStoreEra(std::string_view value);

/// Whether a is before b in the history of the store: in an earlier era, or in the same one with a lower version. Precondition: none. Thread safety: safe
/// from any thread.
bool isBefore(const StorePosition &a, const StorePosition &b);

/// What to do with an answer that holds the changes after a version. Precondition: none. Thread safety: safe from any thread.
AnswerUse useOfChanges(const AnswerEras &eras, StoreEra answer);

/// What to do with an answer that holds the whole table: Ignore or Apply. An answer of the era of the copy must not be older than it.
/// Precondition: none. Thread safety: safe from any thread.
AnswerUse useOfTable(const StorePosition &copy, StoreEra known, const StorePosition &answer);

/// What to do with a request for the changes after a position, given the era of the own copy. Version 0 stands for a host without a copy, which gets the
/// whole table unless it knows of a higher era. Precondition: none. Thread safety: safe from any thread.
RequestUse useOfRequest(StoreEra copy, const StorePosition &after);

} // namespace Trefoil
