#include <LibCore/constanttime.h>

namespace Trefoil
{

bool equalInConstantTime(std::string_view given, std::string_view expected)
{
    if (expected.empty()) {
        return false;
    }
    // Volatile keeps the compiler from leaving the loop at the first difference.
    volatile unsigned char difference = given.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const auto differingBits = static_cast<unsigned char>(given[i] ^ expected[i % expected.size()]);
        difference = static_cast<unsigned char>(difference | differingBits);
    }
    return difference == 0;
}

} // namespace Trefoil
