#include <Platform/Soak/customerbook.h>
#include <Platform/Soak/promises.h>
#include <Platform/Soak/soakplan.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <set>

using namespace Trefoil;
using namespace Trefoil::Soak;
using namespace std::chrono_literals;

namespace
{

struct Change
{
    const char *name;
    void (*change)(CallerRequest &request, Execution &execution, Promises &promises);
    /// Part of the violation; empty when nothing is broken.
    const char *violation;
};

/// Index of a change: functions have other addresses in the process of the test.
struct PromiseCase
{
    std::size_t index;
};

const BootTime s_now = BootTime(1000s);

const std::vector<Change> s_changes = {
    {"served", [](CallerRequest &, Execution &, Promises &) {}, ""},
    {"rejected", [](CallerRequest &request, Execution &, Promises &) { request.end = ResponseKind::Rejected; }, "told that it did not run"},
    {"twice", [](CallerRequest &, Execution &execution, Promises &promises) { promises.began(execution); }, "ran 2 times"},
    {"foreign", [](CallerRequest &request, Execution &, Promises &) { request.body = "other"; }, "got the response of other"},
    {"lost", [](CallerRequest &request, Execution &, Promises &) { request.end = ResponseKind::ConnectionLost; }, "lost the connection"},
    {"lost-by-kill",
        [](CallerRequest &request, Execution &, Promises &promises) {
            request.end = ResponseKind::ConnectionLost;
            promises.hostDisturbed(0, {s_now, s_now + 1s});
            promises.hostKilled(0, {s_now, s_now + 1s});
        },
        ""},
    {"lost-while-stopping",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.hostStopped(0, s_now - 2200ms);
            promises.hostDisturbed(0, {s_now - 200ms, s_now + 4s});
            promises.unanswered({"id", 0, s_now, s_now + 5ms, true});
        },
        "LOST at host 0 after 5 ms, 1 executions, ms after each SIGTERM: 2205"},
    {"reset-after-it-began",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"id", 0, s_now, s_now + 5ms, false});
        },
        "LOST"},
    {"read-and-left",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"other", 0, s_now, s_now + 201ms, true});
        },
        "LOST"},
    {"crossed-the-close",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"other", 0, s_now, s_now + 5ms, true});
        },
        ""},
    {"never-read",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"other", 0, s_now, s_now + 1s, false});
        },
        ""},
    {"unanswered-by-kill",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"id", 0, s_now, s_now + 5ms, true});
            promises.hostKilled(0, {s_now, s_now + 1s});
        },
        ""},
    {"unanswered-by-kill-of-another-host",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.unanswered({"id", 0, s_now, s_now + 5ms, true});
            promises.hostKilled(1, {s_now, s_now + 1s});
        },
        "LOST"},
    {"held", [](CallerRequest &request, Execution &, Promises &) { request.endedAt = s_now + 1600ms; }, "held for 1600 ms"},
    {"no-time-left", [](CallerRequest &, Execution &execution, Promises &) { execution.timeLeft.reset(); }, "without its time left"},
    {"time-grew", [](CallerRequest &, Execution &execution, Promises &) { execution.timeLeft = 1600ms; }, "grew to 1600 ms"},
    {"held-on-its-way",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            execution.timeLeft = 1600ms;
            promises.linkDisturbed("u", {s_now, s_now + 1s});
        },
        ""},
    {"old-route",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha"});
            promises.routeChanged("read", {s_now - 3s, "beta"});
        },
        "after the configuration had changed"},
    {"late-route",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha"});
            promises.routeChanged("read", {s_now - 2s, "beta"});
        },
        ""},
    {"store-was-away",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.routeChanged("read", {s_now - 3s, "beta"});
            promises.storeDisturbed({s_now - 4s, s_now - 1s});
        },
        ""},
    {"other-region",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha", {"west"}});
            execution.region = "east";
        },
        "which no configuration in force allows"},
    {"region-of-older-version",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 3s, "alpha", {"west"}});
            execution.region = "east";
        },
        "which no configuration in force allows"},
    {"region-of-version-that-may-be-in-force",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 2s, "alpha", {"west"}});
            execution.region = "east";
        },
        ""},
    {"region-changed-while-request-waited",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 2s, "alpha", {"west"}});
            execution.region = "east";
            execution.begunAt = s_now + 600ms;
            execution.timeLeft = 400ms;
        },
        "which no configuration in force allows"},
    {"region-changed-while-bytes-were-held-back",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 10s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 2s, "alpha", {"west"}});
            promises.linkDisturbed("u", {s_now, s_now + 600ms});
            execution.region = "east";
            execution.begunAt = s_now + 600ms;
            execution.timeLeft = 400ms;
        },
        ""},
    {"region-changed-while-store-was-away",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 20s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 5s, "alpha", {"west"}});
            promises.storeDisturbed({s_now - 8s, s_now - 2s});
            execution.region = "east";
        },
        ""},
    {"region-unknown-after-stores-return",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 20s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 5s, "alpha", {"west"}});
            promises.storeDisturbed({s_now - 8s, s_now - 3s});
            execution.region = "east";
        },
        "which no configuration in force allows"},
    {"region-forgotten-while-store-is-away",
        [](CallerRequest &, Execution &execution, Promises &promises) {
            promises.routeChanged("read", {s_now - 20s, "alpha", {"east"}});
            promises.routeChanged("read", {s_now - 10s, "alpha", {"west"}});
            promises.storeDisturbed({s_now - 5s, s_now + 1s});
            execution.region = "east";
        },
        "which no configuration in force allows"},
    {"left",
        [](CallerRequest &, Execution &, Promises &promises) {
            promises.upstreamBanned("u", {s_now - 3s, s_now + 1s});
        },
        "after it had left"},
};

} // namespace

// Guards against a soak that passes although a promise was broken, and against one that complains of what is allowed.
ParameterizedTestParameters(Soak, promises)
{
    static std::vector<PromiseCase> cases(s_changes.size());
    for (std::size_t i = 0; i < s_changes.size(); ++i) {
        cases[i].index = i;
    }
    return cr_make_param_array(PromiseCase, cases.data(), cases.size());
}

ParameterizedTest(PromiseCase *testCase, Soak, promises)
{
    const Change &change = s_changes[testCase->index];
    Promises promises;
    CallerRequest request{"id", "read", 0, false, s_now, 1000ms, s_now + 100ms, ResponseKind::Served, "id"};
    Execution execution{"id", "alpha", "u", s_now + 10ms, 990ms};
    change.change(request, execution, promises);
    promises.began(execution);
    promises.ended(request);
    const auto violations = promises.violations();
    if (change.violation[0] == '\0') {
        cr_assert(violations.empty(), "%s: %s", change.name, violations.front().c_str());
        return;
    }
    cr_assert(!violations.empty(), "%s", change.name);
    cr_assert(violations.front().find(change.violation) != std::string::npos, "%s: %s", change.name, violations.front().c_str());
}

// Guards against series in which other faults of the store extend the time without promises, so that a late change is never seen.
Test(Soak, nothingElseDisturbsTheStoreInASeries)
{
    const auto isOfStore = [](const Fault &fault) { return toText(fault.kind).substr(0, 5) == "store"; };
    std::size_t configurations = 0;
    std::size_t restarts = 0;
    PlanSettings settings;
    settings.length = 600s;
    const auto faults = planFaults(settings);
    for (const Fault &hang : faults) {
        if (hang.kind != FaultKind::StoreHangs) {
            continue;
        }
        const auto end = hang.at + hang.duration;
        for (const Fault &fault : faults) {
            const bool isDuring = fault.at >= hang.at && fault.at < end;
            configurations += isDuring && fault.kind == FaultKind::Configuration ? 1 : 0;
            restarts += isDuring && (fault.kind == FaultKind::HostStopped || fault.kind == FaultKind::HostKilled) ? 1 : 0;
            if (&fault != &hang && isOfStore(fault)) {
                cr_assert(fault.at >= end + 8s || fault.at + fault.duration <= hang.at, "%s", std::string(toText(fault.kind)).c_str());
            }
        }
    }
    cr_assert_gt(configurations, 0U);
    cr_assert_gt(restarts, 0U);
}

// Guards against kept seeds that no longer play the faults for which they were kept.
Test(Soak, seriesLeaveOtherFaultsAsTheyAre)
{
    const auto ofOthers = [](std::chrono::milliseconds meanSeriesGap) {
        PlanSettings settings;
        settings.length = 60s;
        settings.meanSeriesGap = meanSeriesGap;
        std::vector<Fault> faults;
        for (const Fault &fault : planFaults(settings)) {
            if (toText(fault.kind).substr(0, 8) == "upstream") {
                faults.push_back(fault);
            }
        }
        return faults;
    };
    const auto alone = ofOthers(0ms);
    const auto between = ofOthers(8s);
    cr_assert_eq(alone.size(), between.size());
    for (std::size_t i = 0; i < alone.size(); ++i) {
        cr_assert(alone[i].kind == between[i].kind && alone[i].at == between[i].at && alone[i].duration == between[i].duration
            && alone[i].target == between[i].target);
    }
}

// Guards against series of planned stops that don't overlap over several hosts, or in which a signal has no company.
Test(Soak, plannedStopsOverlap)
{
    PlanSettings settings;
    settings.length = 60s;
    settings.isPlanned = true;
    const auto faults = planFaults(settings);
    std::size_t overlaps = 0;
    std::set<FaultKind> kinds;
    for (const Fault &fault : faults) {
        kinds.insert(fault.kind);
        if (fault.kind != FaultKind::HostStopped) {
            continue;
        }
        overlaps += static_cast<std::size_t>(std::count_if(faults.begin(), faults.end(), [&fault](const Fault &other) {
            return other.kind == FaultKind::HostStopped && other.target != fault.target && other.at >= fault.at && other.at < fault.at + 3s;
        }));
    }
    cr_assert_gt(overlaps, 0U);
    cr_assert(kinds == (std::set<FaultKind>{FaultKind::HostStopped, FaultKind::HostKilled, FaultKind::HostHangup, FaultKind::Configuration}));
}

// Guards against faults that can't be played again, kinds that are never drawn, and changes of customers in a run that has none.
Test(Soak, plansAreRepeatableAndReachAllKinds)
{
    for (const bool hasCustomers : {false, true}) {
        PlanSettings settings;
        settings.length = 600s;
        settings.hasCustomers = hasCustomers;
        const auto first = planFaults(settings);
        const auto second = planFaults(settings);
        cr_assert_eq(first.size(), second.size());
        std::set<FaultKind> kinds;
        for (std::size_t i = 0; i < first.size(); ++i) {
            cr_assert(first[i].kind == second[i].kind && first[i].at == second[i].at && first[i].target == second[i].target);
            kinds.insert(first[i].kind);
        }
        std::set<FaultKind> expected(allFaultKinds().begin(), allFaultKinds().end());
        if (!hasCustomers) {
            for (const FaultKind kind : {FaultKind::KeyRemoved, FaultKind::KeyAdded, FaultKind::LimitLowered, FaultKind::LimitRestored}) {
                expected.erase(kind);
            }
        }
        cr_assert(kinds == expected);
    }
}

namespace
{

struct PlanDigest
{
    std::uint64_t seed;
    bool isPlanned;
    std::size_t faults;
    std::uint64_t digest;
};

/// FNV-1a of all fields, each letter and number as eight bytes.
std::uint64_t digestOf(const std::vector<Fault> &faults)
{
    std::uint64_t digest = 14695981039346656037U;
    const auto addNumber = [&digest](std::uint64_t number) {
        for (unsigned i = 0; i < 8; ++i) {
            digest = (digest ^ ((number >> (8 * i)) & 0xffU)) * 1099511628211U;
        }
    };
    for (const Fault &fault : faults) {
        for (const char letter : toText(fault.kind)) {
            addNumber(static_cast<unsigned char>(letter));
        }
        addNumber(static_cast<std::uint64_t>(fault.at.count()));
        addNumber(static_cast<std::uint64_t>(fault.duration.count()));
        addNumber(fault.target);
    }
    return digest;
}

} // namespace

// Guards against kept seeds that play other faults after a change of the planner, such as a new kind of fault.
ParameterizedTestParameters(Soak, plansOfKeptSeedsStayTheSame)
{
    static PlanDigest cases[] = {
        {1, false, 89, 12714628710736425413U},
        {1, true, 89, 8461568280067591250U},
        {100, false, 86, 16312635690453228865U},
        {100, true, 107, 2933731369537481078U},
        {2001, false, 79, 14252668254808258265U},
        {2001, true, 168, 1094470207365820080U},
        {9103, false, 106, 17143760718072371608U},
        {9103, true, 99, 15422799980758476680U},
    };
    return cr_make_param_array(PlanDigest, cases, sizeof(cases) / sizeof(cases[0]));
}

ParameterizedTest(PlanDigest *testCase, Soak, plansOfKeptSeedsStayTheSame)
{
    PlanSettings settings;
    settings.seed = testCase->seed;
    settings.isPlanned = testCase->isPlanned;
    settings.length = 60s;
    const auto faults = planFaults(settings);
    cr_expect_eq(faults.size(), testCase->faults);
    cr_expect_eq(digestOf(faults), testCase->digest);
}

// Guards against runs with customers whose other faults differ from those without, and against changes that never meet hosts without the store.
Test(Soak, customerSeriesOverlapWithTheOtherFaults)
{
    PlanSettings settings;
    settings.length = 60s;
    const auto plain = planFaults(settings);
    settings.hasCustomers = true;
    const auto withCustomers = planFaults(settings);
    const auto isSame = [](const Fault &left, const Fault &right) {
        return left.kind == right.kind && left.at == right.at && left.duration == right.duration && left.target == right.target;
    };
    for (const Fault &fault : plain) {
        cr_assert(std::any_of(withCustomers.begin(), withCustomers.end(), [&](const Fault &other) { return isSame(fault, other); }));
    }
    std::size_t removalsDuringCuts = 0;
    for (const Fault &fault : withCustomers) {
        if (fault.kind != FaultKind::KeyRemoved) {
            continue;
        }
        removalsDuringCuts +=
            std::any_of(withCustomers.begin(),
                withCustomers.end(),
                [&fault](const Fault &cut) { return cut.kind == FaultKind::StoreCutFromHost && cut.at <= fault.at && fault.at < cut.at + cut.duration; })
            ? 1
            : 0;
    }
    cr_assert_gt(removalsDuringCuts, 0U);
}

namespace
{

/// A request with the key of "museum", which has no limit, beside "library" with one; both were configured long before.
struct CustomerCase
{
    const char *name;
    void (*change)(CallerRequest &request, Execution &execution, CustomerVersions &customers, Promises &promises);
    /// Part of the violation; empty when nothing is broken.
    const char *violation;
};

void configure(Promises &promises, const CustomerVersions &customers, BootTime at)
{
    promises.customersConfigured(customers, at, at);
}

void end(CallerRequest &request, Execution &execution, ResponseKind kind)
{
    request.end = kind;
    execution.id = "other";
}

/// The limit is 10 x 5 + 10, so that 86 requests may run in a window.
void runRequests(Promises &promises, int count, BootTime from, std::chrono::milliseconds length)
{
    for (int i = 0; i < count; ++i) {
        Execution execution{"q-" + std::to_string(i), "alpha", "u", from + length * i / count, 990ms, "east", "library"};
        promises.began(execution);
    }
}

const std::vector<CustomerCase> s_customerCases = {
    {"served", [](CallerRequest &, Execution &, CustomerVersions &, Promises &) {}, ""},
    {"no key", [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) { request.key.clear(); }, "without a key that a configuration held"},
    {"unknown key",
        [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) { request.key = "k-9"; },
        "without a key that a configuration held"},
    {"key of two customers",
        [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) { request.key = "k-shared"; },
        "without a key that a configuration held"},
    {"key that is added later",
        [](CallerRequest &request, Execution &, CustomerVersions &customers, Promises &promises) {
            request.key = "k-new";
            customers["museum"].keys.emplace_back("k-new");
            configure(promises, customers, s_now + 20ms);
        },
        "without a key that a configuration held"},
    {"another customer's name",
        [](CallerRequest &, Execution &execution, CustomerVersions &, Promises &) { execution.customer = "library"; },
        "under the name \"library\", its key is of museum"},
    {"no name", [](CallerRequest &, Execution &execution, CustomerVersions &, Promises &) { execution.customer.clear(); }, "under the name \"\""},
    {"two names",
        [](CallerRequest &, Execution &execution, CustomerVersions &, Promises &) { execution.customer = "museum,library"; },
        "under the name \"museum,library\""},
    {"public route without a key",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) {
            request.isPublic = true;
            request.key.clear();
            execution.customer.clear();
        },
        ""},
    {"public route under a name that the caller sent",
        [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) {
            request.isPublic = true;
            request.key.clear();
        },
        "its key is of nobody"},
    {"key removed 5 s before",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["museum"].keys.clear();
            configure(promises, customers, s_now - 5s);
        },
        ""},
    {"key removed more than 5 s before",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["museum"].keys.clear();
            configure(promises, customers, s_now - 5001ms);
        },
        "its key of museum had been removed more than 5000 ms"},
    {"key removed at a host without the store",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["museum"].keys.clear();
            configure(promises, customers, s_now - 5001ms);
            promises.storeDisturbed({s_now - 10s, s_now + 1s});
            promises.hostDisturbed(0, {s_now - 10s, s_now + 1s});
        },
        "its key of museum had been removed more than 5000 ms"},
    {"removed key on a public route",
        [](CallerRequest &request, Execution &, CustomerVersions &customers, Promises &promises) {
            request.isPublic = true;
            customers["museum"].keys.clear();
            configure(promises, customers, s_now - 5001ms);
        },
        "its key is of nobody"},
    {"key removed and given back",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            const CustomerVersions before = customers;
            customers["museum"].keys.clear();
            configure(promises, customers, s_now - 8s);
            configure(promises, before, s_now);
        },
        ""},
    {"region of the customer",
        [](CallerRequest &, Execution &execution, CustomerVersions &, Promises &) { execution.region = "west"; },
        "ran in west, which customer museum does not allow"},
    {"401 for a key in force",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) { end(request, execution, ResponseKind::Unauthorized); },
        "answered 401 by host 0"},
    {"401 that ran",
        [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) { request.end = ResponseKind::Unauthorized; },
        "told that it did not run"},
    {"429 that ran",
        [](CallerRequest &request, Execution &, CustomerVersions &, Promises &) { request.end = ResponseKind::QuotaExceeded; },
        "told that it did not run"},
    {"401 without a key",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) {
            end(request, execution, ResponseKind::Unauthorized);
            request.key.clear();
        },
        ""},
    {"401 on a public route",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) {
            end(request, execution, ResponseKind::Unauthorized);
            request.key.clear();
            request.isPublic = true;
        },
        "401 on a public route"},
    {"401 for a key that was added 2.5 s before",
        [](CallerRequest &request, Execution &execution, CustomerVersions &customers, Promises &promises) {
            end(request, execution, ResponseKind::Unauthorized);
            request.key = "k-new";
            customers["museum"].keys.emplace_back("k-new");
            configure(promises, customers, s_now - 2500ms);
        },
        "answered 401 by host 0, 2500 ms after its key was added"},
    {"401 for a key that may not be in force",
        [](CallerRequest &request, Execution &execution, CustomerVersions &customers, Promises &promises) {
            end(request, execution, ResponseKind::Unauthorized);
            request.key = "k-new";
            customers["museum"].keys.emplace_back("k-new");
            configure(promises, customers, s_now - 2499ms);
        },
        ""},
    {"401 for a key that was added while the store was away",
        [](CallerRequest &request, Execution &execution, CustomerVersions &customers, Promises &promises) {
            end(request, execution, ResponseKind::Unauthorized);
            request.key = "k-new";
            customers["museum"].keys.emplace_back("k-new");
            configure(promises, customers, s_now - 6s);
            promises.storeDisturbed({s_now - 7s, s_now - 1s});
        },
        ""},
    {"401 for a key that is removed meanwhile",
        [](CallerRequest &request, Execution &execution, CustomerVersions &customers, Promises &promises) {
            end(request, execution, ResponseKind::Unauthorized);
            customers["museum"].keys.clear();
            configure(promises, customers, s_now + 50ms);
        },
        ""},
    {"429 without a limit",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) { end(request, execution, ResponseKind::QuotaExceeded); },
        "museum has no limit"},
    {"429 with a limit",
        [](CallerRequest &request, Execution &execution, CustomerVersions &, Promises &) {
            end(request, execution, ResponseKind::QuotaExceeded);
            request.key = "k-2";
        },
        ""},
    {"window at its bound", [](CallerRequest &, Execution &, CustomerVersions &, Promises &promises) { runRequests(promises, 86, s_now, 4999ms); }, ""},
    {"window above its bound",
        [](CallerRequest &, Execution &, CustomerVersions &, Promises &promises) { runRequests(promises, 87, s_now, 4999ms); },
        "library: 87 requests ran in a window of 5000 ms that begins with q-0, 86.0 are allowed"},
    {"more than a window", [](CallerRequest &, Execution &, CustomerVersions &, Promises &promises) { runRequests(promises, 172, s_now, 10s); }, ""},
    {"requests that ran at two upstreams",
        [](CallerRequest &, Execution &, CustomerVersions &, Promises &promises) {
            runRequests(promises, 60, s_now, 2s);
            runRequests(promises, 60, s_now + 2s, 2s);
        },
        ""},
    {"limit lowered 3 s before",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["library"].rate = 5;
            customers["library"].burst = 5;
            configure(promises, customers, s_now - 3s);
            runRequests(promises, 54, s_now, 4999ms);
        },
        "54 requests ran in a window of 5000 ms that begins with q-0, 53.0 are allowed"},
    {"limit lowered shortly before",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["library"].rate = 5;
            customers["library"].burst = 5;
            configure(promises, customers, s_now - 2900ms);
            // No window that begins when the lowered limit is known has more than 53.
            runRequests(promises, 54, s_now, 4999ms);
        },
        ""},
    {"limit lowered while the store was away",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["library"].rate = 5;
            customers["library"].burst = 5;
            configure(promises, customers, s_now - 4s);
            promises.hostDisturbed(1, {s_now - 5s, s_now - 1s});
            runRequests(promises, 54, s_now, 500ms);
        },
        ""},
    {"limit lowered longer ago than the revocation time while the store is away",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["library"].rate = 5;
            customers["library"].burst = 5;
            configure(promises, customers, s_now - 5s);
            promises.hostDisturbed(1, {s_now - 10s, s_now + 10s});
            runRequests(promises, 54, s_now, 4999ms);
        },
        "53.0 are allowed"},
    {"limit raised meanwhile",
        [](CallerRequest &, Execution &, CustomerVersions &customers, Promises &promises) {
            customers["library"].rate = 20;
            configure(promises, customers, s_now + 4s);
            runRequests(promises, 120, s_now, 4999ms);
        },
        ""},
};

} // namespace

// Guards against a soak that passes although a promise to customers was broken, and against one that complains of what is allowed.
ParameterizedTestParameters(Soak, customerPromises)
{
    static std::vector<PromiseCase> cases(s_customerCases.size());
    for (std::size_t i = 0; i < s_customerCases.size(); ++i) {
        cases[i].index = i;
    }
    return cr_make_param_array(PromiseCase, cases.data(), cases.size());
}

ParameterizedTest(PromiseCase *testCase, Soak, customerPromises)
{
    const CustomerCase &change = s_customerCases[testCase->index];
    Promises promises;
    CustomerVersions customers = {{"museum", {{"k-1", "k-shared"}, {"east"}, 0, 0}}, {"library", {{"k-2", "k-shared"}, {}, 10, 10}}};
    configure(promises, customers, s_now - 60s);
    CallerRequest request{"id", "read", 0, false, s_now, 1000ms, s_now + 100ms, ResponseKind::Served, "id", "k-1"};
    Execution execution{"id", "alpha", "u", s_now + 10ms, 990ms, "east", "museum"};
    change.change(request, execution, customers, promises);
    promises.began(execution);
    promises.ended(request);
    const auto violations = promises.violations();
    if (change.violation[0] == '\0') {
        cr_assert(violations.empty(), "%s: %s", change.name, violations.front().c_str());
        return;
    }
    cr_assert(!violations.empty(), "%s", change.name);
    const bool isFound = std::any_of(
        violations.begin(), violations.end(), [&change](const std::string &violation) { return violation.find(change.violation) != std::string::npos; });
    cr_assert(isFound, "%s: %s", change.name, violations.front().c_str());
}

// Guards against keys that reach upstreams unseen: requests of a caller carry the mark that upstreams look for, and the book draws each kind of header.
Test(Soak, callersSendRecognisableKeys)
{
    CustomerBook book(1);
    book.removeKey(0);
    book.addKey(1);
    const CustomerVersions versions = book.versions();
    std::set<std::size_t> headers;
    std::size_t known = 0;
    std::size_t forged = 0;
    for (int i = 0; i < 2000; ++i) {
        const Credentials credentials = book.draw();
        headers.insert(credentials.authorizations.size());
        forged += credentials.names.empty() ? 0 : 1;
        for (const std::string &authorization : credentials.authorizations) {
            cr_assert(authorization.find(s_keyMark) != std::string::npos, "%s", authorization.c_str());
        }
        known += std::any_of(versions.begin(),
                     versions.end(),
                     [&credentials](const auto &entry) {
                         const std::vector<std::string> &keys = entry.second.keys;
                         return std::find(keys.begin(), keys.end(), credentials.key) != keys.end();
                     })
            ? 1
            : 0;
    }
    cr_assert(headers == (std::set<std::size_t>{0, 1, 2}));
    cr_assert(known > 1200 && known < 1700, "%zu of 2000 keys are known", known);
    cr_assert(forged > 300 && forged < 500, "%zu of 2000 names are forged", forged);
}
