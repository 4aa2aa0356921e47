#include <LibSteering/hostchoice.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace Trefoil
{

namespace
{

// Estimates for the mix of requests of the deployment with downloads. Their common scale has no effect, only their ratios have.

constexpr double s_coresPerRequest = 0.0005;
/// 76 of 816 requests have responses of 90 KB, the others of about 2 KB: 10.2 KB on average, which enter and leave through one link.
constexpr double s_linkMegabitsPerRequest = 2 * 10.2e3 * 8 / 1e6;
/// One connection to the caller and one to the upstream, for about a second, and as many idle ones.
constexpr double s_descriptorsPerRequest = 4;
/// Descriptors that the process needs for files.
constexpr double s_fileDescriptors = 200;
/// Losses of hosts that a list is to survive until the next look-up.
constexpr std::size_t s_maximumLost = 2;

/// Mean of the known figures; 0 when none is known.
double meanKnown(const std::vector<EntryHostCandidate> &candidates, double HostCapacity::*figure)
{
    double sum = 0;
    int count = 0;
    for (const EntryHostCandidate &candidate : candidates) {
        if (candidate.capacity.*figure > 0) {
            sum += candidate.capacity.*figure;
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

/// Requests per second of each candidate, with the mean in place of unknown figures.
std::vector<double> strengths(const std::vector<EntryHostCandidate> &candidates)
{
    HostCapacity average;
    for (double HostCapacity::*figure : {&HostCapacity::cores, &HostCapacity::linkMegabits, &HostCapacity::descriptors}) {
        average.*figure = meanKnown(candidates, figure);
    }
    std::vector<double> result;
    result.reserve(candidates.size());
    for (const EntryHostCandidate &candidate : candidates) {
        HostCapacity capacity = candidate.capacity;
        for (double HostCapacity::*figure : {&HostCapacity::cores, &HostCapacity::linkMegabits, &HostCapacity::descriptors}) {
            capacity.*figure = capacity.*figure > 0 ? capacity.*figure : average.*figure;
        }
        result.push_back(carriedRequests(capacity));
    }
    return result;
}

} // namespace

double carriedRequests(const HostCapacity &capacity)
{
    double requests = std::numeric_limits<double>::infinity();
    if (capacity.cores > 0) {
        requests = std::min(requests, capacity.cores / s_coresPerRequest);
    }
    if (capacity.linkMegabits > 0) {
        requests = std::min(requests, capacity.linkMegabits / s_linkMegabitsPerRequest);
    }
    if (capacity.descriptors > 0) {
        requests = std::min(requests, std::max(capacity.descriptors - s_fileDescriptors, 0.0) / s_descriptorsPerRequest);
    }
    return requests == std::numeric_limits<double>::infinity() ? 0 : requests;
}

std::vector<std::size_t> chooseEntryHosts(const std::vector<EntryHostCandidate> &candidates)
{
    const std::vector<double> carried = strengths(candidates);
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::make_tuple(-carried[a], candidates[a].hash, a) < std::make_tuple(-carried[b], candidates[b].hash, b);
    });
    std::size_t best = std::min<std::size_t>(order.size(), 2);
    double bestCarried = 0;
    for (std::size_t count = best; count >= 2 && count <= order.size(); ++count) {
        const std::size_t left = count - std::min(s_maximumLost, count / 2);
        const double carriedByList = static_cast<double>(left) * carried[order[count - 1]];
        // Among equal lists the longer one, since each of its hosts has less to do.
        if (carriedByList >= bestCarried) {
            best = count;
            bestCarried = carriedByList;
        }
    }
    order.resize(best);
    std::sort(order.begin(), order.end());
    return order;
}

} // namespace Trefoil
