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

constexpr std::size_t s_guardiansInOwnRegion = 3;
constexpr std::size_t s_guardiansInOtherRegions = s_targetGuardianCount - s_guardiansInOwnRegion;

std::uint64_t rank(const HostId &self, const HostId &candidate)
{
    const std::string text = self.value() + '\n' + candidate.value();
    return XXH3_64bits(text.data(), text.size());
}

/// Chooses count candidates in their order, each from the group from which the fewest have been chosen so far.
template<typename GroupOf>
void chooseSpread(const std::vector<const GuardianCandidate *> &ordered,
    std::size_t count,
    const std::map<std::string, std::size_t> &initialCounts,
    GroupOf groupOf,
    std::vector<HostId> &chosen)
{
    std::map<std::string, std::size_t> counts = initialCounts;
    std::vector<const GuardianCandidate *> remaining = ordered;
    for (std::size_t i = 0; i < count && !remaining.empty(); ++i) {
        const auto next =
            std::min_element(remaining.begin(), remaining.end(), [&](const auto *a, const auto *b) { return counts[groupOf(*a)] < counts[groupOf(*b)]; });
        ++counts[groupOf(**next)];
        chosen.push_back((*next)->id);
        remaining.erase(next);
    }
}

} // namespace

std::vector<HostId> chooseGuardians(const GuardianCandidate &self, const std::vector<GuardianCandidate> &candidates, const std::vector<HostId> &preferred)
{
    const std::set<HostId> preferredHosts(preferred.begin(), preferred.end());
    std::vector<const GuardianCandidate *> ownRegion;
    std::vector<const GuardianCandidate *> otherRegions;
    for (const auto &candidate : candidates) {
        (candidate.region == self.region ? ownRegion : otherRegions).push_back(&candidate);
    }
    const auto order = [&](const GuardianCandidate *a, const GuardianCandidate *b) {
        return std::make_tuple(preferredHosts.count(a->id) == 0, rank(self.id, a->id), a->id)
            < std::make_tuple(preferredHosts.count(b->id) == 0, rank(self.id, b->id), b->id);
    };
    std::sort(ownRegion.begin(), ownRegion.end(), order);
    std::sort(otherRegions.begin(), otherRegions.end(), order);
    std::vector<HostId> chosen;
    chooseSpread(
        ownRegion, s_guardiansInOwnRegion, {{self.zone.value(), 1}}, [](const GuardianCandidate &candidate) { return candidate.zone.value(); }, chosen);
    chooseSpread(
        otherRegions, s_guardiansInOtherRegions, {}, [](const GuardianCandidate &candidate) { return candidate.region.value(); }, chosen);
    return chosen;
}

} // namespace Trefoil
