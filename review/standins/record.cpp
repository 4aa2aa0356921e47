#include "record.h"

namespace Trefoil::Review
{

Record::Record(const std::string &folder)
    : m_file(folder + "/record.txt")
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsed().count() << " ms " << line << std::endl;
}

milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start);
}

} // namespace Trefoil::Review
