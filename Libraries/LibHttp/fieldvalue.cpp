#include <LibHttp/fieldvalue.h>

namespace Trefoil
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace Trefoil
