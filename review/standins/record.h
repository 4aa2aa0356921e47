#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Trefoil::Review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// What was sent, answered and run, one line each with the milliseconds since the start. Thread safety: safe from any thread.
class Record
{
public:
    /// Precondition: the folder exists.
    explicit Record(const std::string &folder);

    /// Adds a line. Precondition: none.
    void add(const std::string &line);

    /// Time since the start of the run. Precondition: none.
    milliseconds elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

} // namespace Trefoil::Review
