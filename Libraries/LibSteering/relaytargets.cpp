#include <LibSteering/relaytargets.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace Trefoil
{

namespace
{

/// Hosts compared for one choice; a region of the two-year target has some 170.
constexpr std::size_t s_compared = 16;

std::size_t randomIndex(pcg32 &generator, std::size_t count)
{
    return static_cast<std::size_t>((std::uint64_t{generator()} * count) >> 32U);
}

} // namespace

RelayTargets::RelayTargets(const std::vector<RelayCandidate> &targets)
{
    m_targets.reserve(targets.size());
    for (const auto &target : targets) {
        assert(target.relays);
        m_targets.emplace_back(target.freeSlots.value(), target.relays);
    }
}

std::optional<ChosenTarget> RelayTargets::choose(pcg32 &generator) const
{
    if (m_targets.empty()) {
        return std::nullopt;
    }
    const std::size_t count = std::min(m_targets.size(), s_compared);
    const std::size_t start = randomIndex(generator, m_targets.size());
    std::array<std::int32_t, s_compared> free{};
    std::int32_t sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
        free[i] = std::max(0, m_targets[(start + i) % m_targets.size()].free());
        sum += free[i];
    }
    if (sum <= 0) {
        return std::nullopt;
    }
    auto place = static_cast<std::int32_t>(randomIndex(generator, static_cast<std::size_t>(sum)));
    for (std::size_t i = 0; i < count; ++i) {
        place -= free[i];
        if (place < 0) {
            const std::size_t index = (start + i) % m_targets.size();
            return ChosenTarget{index, m_targets[index].begin()};
        }
    }
    return std::nullopt;
}

bool RelayTargets::hasFreeSlot() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &target) { return target.free() > 0; });
}

} // namespace Trefoil
