#include <LibSteering/affinityranking.h>
#include <LibSteering/hostchoice.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <pcg_random.hpp>
#include <set>
#include <string>

using namespace Trefoil;

namespace
{

const HostCapacity s_large{0.5, 200, 8192};
const HostCapacity s_small{0.1, 10, 4100};
const HostCapacity s_unknown{};

/// A zone of hosts named by their kind and number.
class Zone
{
public:
    void add(const std::string &kind, int count, const HostCapacity &capacity)
    {
        for (int i = 0; i < count; ++i) {
            m_names.push_back(kind + std::to_string(i));
            m_candidates.push_back({stableHash(m_names.back()), capacity});
        }
    }

    void remove(const std::string &name)
    {
        const auto index = std::find(m_names.begin(), m_names.end(), name) - m_names.begin();
        m_names.erase(m_names.begin() + index);
        m_candidates.erase(m_candidates.begin() + index);
    }

    std::set<std::string> chosen() const
    {
        std::set<std::string> names;
        for (const std::size_t index : chooseEntryHosts(m_candidates)) {
            names.insert(m_names[index]);
        }
        return names;
    }

    /// Number of chosen hosts of a kind.
    int chosenOf(const std::string &kind) const
    {
        const auto names = chosen();
        return static_cast<int>(std::count_if(names.begin(), names.end(), [&kind](const std::string &name) { return name.rfind(kind, 0) == 0; }));
    }

    void reverse()
    {
        std::reverse(m_names.begin(), m_names.end());
        std::reverse(m_candidates.begin(), m_candidates.end());
    }

    std::size_t size() const
    {
        return m_names.size();
    }

private:
    std::vector<std::string> m_names;
    std::vector<EntryHostCandidate> m_candidates;
};

struct ChoiceCase
{
    char name[64];
    int large;
    int small;
    int unknown;
    int expectedLarge;
    int expectedSmall;
    int expectedUnknown;
};

} // namespace

// Guards against weak hosts that get as many callers as strong ones, against strong hosts that are too few for the loss of one, and against an
// empty choice.
ParameterizedTestParameters(HostChoice, choices)
{
    static ChoiceCase cases[] = {
        {"no host", 0, 0, 0, 0, 0, 0},
        {"a single small host", 0, 1, 0, 0, 1, 0},
        {"a zone of the deployment: two large hosts", 2, 10, 0, 2, 0, 0},
        {"one of the large hosts is lost: it isn't left alone", 1, 10, 0, 1, 10, 0},
        {"both large hosts are lost", 0, 10, 0, 0, 10, 0},
        {"small hosts that carry more together than two large ones", 2, 40, 0, 2, 40, 0},
        {"equal hosts", 5, 0, 0, 5, 0, 0},
        {"no host publishes its capacity", 0, 0, 7, 0, 0, 7},
        {"older versions beside hosts with capacity", 2, 3, 2, 2, 0, 2},
        {"one large and one small host", 1, 1, 0, 1, 1, 0},
    };
    return cr_make_param_array(ChoiceCase, cases, std::size(cases));
}

ParameterizedTest(ChoiceCase *testCase, HostChoice, choices)
{
    Zone zone;
    zone.add("large", testCase->large, s_large);
    zone.add("small", testCase->small, s_small);
    zone.add("unknown", testCase->unknown, s_unknown);
    cr_assert_eq(zone.chosenOf("large"), testCase->expectedLarge, "%s: %d large", testCase->name, zone.chosenOf("large"));
    cr_assert_eq(zone.chosenOf("small"), testCase->expectedSmall, "%s: %d small", testCase->name, zone.chosenOf("small"));
    cr_assert_eq(zone.chosenOf("unknown"), testCase->expectedUnknown, "%s: %d unknown", testCase->name, zone.chosenOf("unknown"));
}

namespace
{

struct StrengthCase
{
    char name[48];
    HostCapacity capacity;
    double minimum;
    double maximum;
};

} // namespace

// Guards against a link of 10 Mbit/s that is sent responses it can't carry: 90 KB each that enter and leave are 1.44 Mbit, and a zone with 13 downloads
// and 123 look-ups a second needs 22 Mbit/s.
ParameterizedTestParameters(HostChoice, scarcestResourceCounts)
{
    static StrengthCase cases[] = {
        {"slow link, whole core", {1, 10, 8192}, 50, 70},
        {"slow link, a tenth of a core", {0.1, 10, 4100}, 50, 70},
        {"fast link, a tenth of a core", {0.1, 200, 8192}, 190, 210},
        {"large host", {0.5, 200, 8192}, 900, 1100},
        {"few descriptors", {0.5, 200, 600}, 90, 110},
        {"no descriptors for connections", {0.5, 200, 100}, 0, 0},
        {"only the link is known", {0, 200, 0}, 1200, 1250},
        {"nothing is known", {0, 0, 0}, 0, 0},
    };
    return cr_make_param_array(StrengthCase, cases, std::size(cases));
}

ParameterizedTest(StrengthCase *testCase, HostChoice, scarcestResourceCounts)
{
    const double requests = carriedRequests(testCase->capacity);
    cr_assert(requests >= testCase->minimum && requests <= testCase->maximum, "%s: %.1f", testCase->name, requests);
}

// Guards against hosts that choose differently because they learned of the others in another order.
Test(HostChoice, orderOfCandidatesHasNoEffect)
{
    pcg32 random(20261207);
    for (int round = 0; round < 200; ++round) {
        Zone zone;
        zone.add("large", static_cast<int>(random(4)), s_large);
        zone.add("small", static_cast<int>(random(30)), s_small);
        zone.add("middle", static_cast<int>(random(6)), {0.23, 200, 11275});
        const auto before = zone.chosen();
        zone.reverse();
        cr_assert(zone.chosen() == before);
        cr_assert_eq(before.empty(), zone.size() == 0);
    }
}

// Guards against choices that change as a whole when one host comes or goes: callers that stay on listed hosts keep their connections. The hosts
// chosen before and after are nested, apart from the host itself.
Test(HostChoice, oneHostMoreOrLessKeepsTheOthers)
{
    pcg32 random(7);
    for (int round = 0; round < 300; ++round) {
        Zone zone;
        zone.add("large", 1 + static_cast<int>(random(4)), s_large);
        zone.add("small", 1 + static_cast<int>(random(20)), s_small);
        zone.add("middle", static_cast<int>(random(6)), {0.23, 200, 11275});
        const auto before = zone.chosen();
        const std::string lost = random(2) == 0 ? "large0" : "small0";
        zone.remove(lost);
        auto after = zone.chosen();
        auto kept = before;
        kept.erase(lost);
        const bool isNested =
            std::includes(after.begin(), after.end(), kept.begin(), kept.end()) || std::includes(kept.begin(), kept.end(), after.begin(), after.end());
        cr_assert(isNested, "round %d", round);
    }
}
