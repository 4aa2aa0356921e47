#include <LibMembership/guardians.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_guardiansInRegion = 3;
constexpr std::size_t s_guardiansOutside = s_wantedGuardians - s_guardiansInRegion;

std::uint64_t rank(const HostId &self, const HostId &candidate)
{
    const std::string text = self.value() + '\n' + candidate.value();
    return XXH3_64bits(text.data(), text.size());
}

/// Takes count candidates in their order, each time from the group that was taken from least.
template<typename GroupOf>
void takeSpread(const std::vector<const GuardianCandidate *> &ordered,
    std::size_t count,
    const std::map<std::string, std::size_t> &takenBefore,
    GroupOf groupOf,
    std::vector<HostId> &chosen)
{
    std::map<std::string, std::size_t> taken = takenBefore;
    std::vector<const GuardianCandidate *> left = ordered;
    for (std::size_t i = 0; i < count && !left.empty(); ++i) {
        const auto next = std::min_element(left.begin(), left.end(), [&](const auto *a, const auto *b) { return taken[groupOf(*a)] < taken[groupOf(*b)]; });
        ++taken[groupOf(**next)];
        chosen.push_back((*next)->id);
        left.erase(next);
    }
}

} // namespace

std::vector<HostId> chooseGuardians(const GuardianCandidate &self, const std::vector<GuardianCandidate> &candidates, const std::vector<HostId> &preferred)
{
    const std::set<HostId> first(preferred.begin(), preferred.end());
    std::vector<const GuardianCandidate *> inside;
    std::vector<const GuardianCandidate *> outside;
    for (const auto &candidate : candidates) {
        (candidate.region == self.region ? inside : outside).push_back(&candidate);
    }
    const auto order = [&](const GuardianCandidate *a, const GuardianCandidate *b) {
        return std::make_tuple(first.count(a->id) == 0, rank(self.id, a->id), a->id) < std::make_tuple(first.count(b->id) == 0, rank(self.id, b->id), b->id);
    };
    std::sort(inside.begin(), inside.end(), order);
    std::sort(outside.begin(), outside.end(), order);
    std::vector<HostId> chosen;
    takeSpread(
        inside, s_guardiansInRegion, {{self.zone.value(), 1}}, [](const GuardianCandidate &candidate) { return candidate.zone.value(); }, chosen);
    takeSpread(
        outside, s_guardiansOutside, {}, [](const GuardianCandidate &candidate) { return candidate.region.value(); }, chosen);
    return chosen;
}

} // namespace Trefoil
