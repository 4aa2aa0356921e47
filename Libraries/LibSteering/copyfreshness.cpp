#include <LibSteering/copyfreshness.h>

namespace Trefoil
{

namespace
{

constexpr double s_usableRatio = 0.9;

} // namespace

std::chrono::milliseconds maximumCopyAge(const RevocationPolicy &policy)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(policy.time * s_usableRatio);
}

bool mayUseKeys(const RevocationPolicy &policy, BootTime provenAt, BootTime now)
{
    return !policy.isStrict || (provenAt != BootTime{} && now - provenAt <= maximumCopyAge(policy));
}

} // namespace Trefoil
