#include <LibCore/findings.h>

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace Trefoil
{

std::string toText(const Findings &findings)
{
    std::string text;
    for (const auto &finding : findings) {
        text += fmt::format("{}: {}", finding.place, finding.message);
        if (!finding.hint.empty()) {
            text += fmt::format(" ({})", finding.hint);
        }
        text += '\n';
    }
    return text;
}

static std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row[b.size()];
}

std::string nearestName(const std::string &word, const std::vector<std::string> &candidates)
{
    // A third of the word may differ; beyond that a suggestion misleads.
    std::size_t best = std::max<std::size_t>(1, word.size() / 3) + 1;
    std::string nearest;
    for (const auto &candidate : candidates) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance >= best) {
            continue;
        }
        best = distance;
        nearest = candidate;
    }
    return nearest;
}

} // namespace Trefoil
