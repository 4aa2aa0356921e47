#pragma once

#include <string>
#include <vector>

namespace Trefoil
{

/// One fault in some input, with the place where it stands.
struct Finding
{
    /// Where the fault is: a flag, a JSON pointer, or "line:column".
    std::string place;
    /// What is wrong.
    std::string message;
    /// How to put it right, for example a near name; may be empty.
    std::string hint;
};

using Findings = std::vector<Finding>;

/// Findings as text, one a line. Precondition: none. Thread safety: safe from any thread.
std::string toText(const Findings &findings);

/// The candidate nearest to a misspelt word, or an empty string when none is close.
/// Precondition: none. Thread safety: safe from any thread.
std::string nearestName(const std::string &word, const std::vector<std::string> &candidates);

} // namespace Trefoil
