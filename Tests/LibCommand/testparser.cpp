#include <LibCommand/parser.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

struct FaultCase
{
    char text[128];
    /// The findings expected, as "place: message" with the start of the message.
    char first[96];
    char second[96];
};

std::string describeFinding(const Findings &findings, std::size_t index)
{
    return index < findings.size() ? findings[index].place + ": " + findings[index].message + " | " + findings[index].hint : "";
}

} // namespace

// Guards against faults that are accepted, reported at the wrong place, or hide a second one.
ParameterizedTestParameters(CommandParser, faults)
{
    static FaultCase cases[] = {
        {"declair region gulf", "1:1: \"declair\" is not a command | did you mean \"declare\"", ""},
        {"declare regoin gulf", "1:9: \"regoin\" is not a kind | did you mean \"region\"", ""},
        {"declare", "1:8: a kind is missing", ""},
        {"declare region", "1:15: the name is missing", ""},
        {"declare region -x", "1:16: \"-x\" is not a valid name", ""},
        {"declare region gulf limit 0%", "1:27: 0 is not between 1 and 100", ""},
        {"declare region gulf limit many", "1:27: \"many\" is not a number", ""},
        {"declare region gulf limit", "1:26: a percentage is missing", ""},
        {"declare region gulf limit 5 limit 6", "1:29: \"limit\" is given twice", ""},
        {"declare zone gulf-a", "1:20: property \"region\" is missing", ""},
        {"declare link gulf plains", "1:19: \"plains\" is not the link's other end", "1:25: the region at the other end"},
        {"set link a to b capacity 4", "1:26: \"4\" is not a number with a unit", ""},
        {"set link a to b capacity 9999999999Gbps", "1:26: \"9999999999Gbps\" is out of range", ""},
        {"set link a to b delay -9223372036854775808h", "1:23: \"-9223372036854775808h\" is out of range", ""},
        {"set link a to b delay 11s", "1:23: \"11s\" is out of range", ""},
        {"set service s objective speed", "1:25: \"speed\" is not an objective", ""},
        {"set service s cap 20", "1:19: \"20\" is not a cap", ""},
        {"set service s cap 20/10", "1:19: \"20/10\" is not a number with a unit", ""},
        {"set service s cap 20/0s", "1:19: \"20/0s\" is out of range", ""},
        {"set upstream u addres 127.0.0.1:80 slots 0", "1:16: \"addres\" is not a property | did you mean \"address\"", "1:42: 0 is not between"},
        {"set upstream u address localhost:80", "1:24: \"localhost:80\" is not an IPv4", ""},
        {"set class c may-wait maybe", "1:22: \"maybe\" is not yes or no", ""},
        {"set tenant t", "1:13: nothing to set", ""},
        {"declare block 10.0.0.1/8 region gulf", "1:15: \"10.0.0.1/8\" is not an IPv4 block", ""},
        {"drain service s", "1:7: \"service\" is not a kind", ""},
        {"show configuration now", "1:20: unexpected \"now\"", ""},
        {"show trafic", "1:6: \"trafic\" is not a table | did you mean \"traffic\"", ""},
        {"why region gulf", "1:5: \"region\" is not a kind", ""},
        {"what-if undrain region gulf", "1:9: \"undrain\" is not a change | did you mean \"drain\"", ""},
        {"# comment\n  set tenant t weight 0 # rest\ndrain zon a", "2:23: 0 is not between 1 and 10000", "3:7: \"zon\" is not a kind"},
        {"drain zone a; undrain zne a", "1:23: \"zne\" is not a kind", ""},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, CommandParser, faults)
{
    const auto result = parseCommands(testCase->text);
    cr_assert(result.has_error(), "%s was accepted", testCase->text);
    const Findings &findings = result.error().findings;
    const std::string first = describeFinding(findings, 0);
    const std::string second = describeFinding(findings, 1);
    cr_assert(first.rfind(testCase->first, 0) == 0, "%s: %s", testCase->text, first.c_str());
    cr_assert(second.rfind(testCase->second, 0) == 0 && second.empty() == (testCase->second[0] == '\0'), "%s: %s", testCase->text, second.c_str());
}

// Guards against values that are read with the wrong unit or into the wrong member.
Test(CommandParser, valuesAndUnits)
{
    const auto result = parseCommands("declare link gulf to plains delay 12ms capacity 4Gbps;declare service s objective headroom cap 200/10s\n"
                                      "declare class order may-wait yes may-repeat no deadline 2min progress-timeout 500ms\r\n"
                                      "why tenant museum to plains; show upstreams of s; what-if drain zone gulf-a");
    cr_assert(result.has_value());
    cr_assert_eq(result.value().size(), 6);
    const auto &link = std::get<LinkProperties>(std::get<DeclareCommand>(result.value()[0]).properties);
    cr_assert_eq(link.delay->count(), 12);
    cr_assert_eq(link.capacity->value(), 4000000);
    const auto &service = std::get<ServiceProperties>(std::get<DeclareCommand>(result.value()[1]).properties);
    cr_assert_eq(service.shiftCap->requests.value(), 200);
    cr_assert_eq(service.shiftCap->interval.count(), 10000);
    const auto &requestClass = std::get<ClassProperties>(std::get<DeclareCommand>(result.value()[2]).properties);
    cr_assert(*requestClass.mayWait && !*requestClass.mayRepeat);
    cr_assert_eq(requestClass.deadline->count(), 120000);
    cr_assert_eq(std::get<WhyCommand>(result.value()[3]).region->text, "plains");
    cr_assert_eq(std::get<ShowCommand>(result.value()[4]).service->text, "s");
    cr_assert(std::get<WhatIfCommand>(result.value()[5]).drain.entity.kind == EntityKind::Zone);
}
