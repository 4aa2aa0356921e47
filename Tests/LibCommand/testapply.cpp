#include <LibCommand/apply.h>
#include <LibCommand/parser.h>
#include <LibCommand/whatif.h>
#include <LibConfiguration/difference.h>
#include <LibConfiguration/validation.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace Trefoil;

namespace
{

const char *const s_base = "declare region gulf; declare zone gulf-a region gulf; declare region plains limit 50%; declare zone plains-a region plains\n"
                           "declare link gulf to plains delay 12ms capacity 4Gbps\n"
                           "declare service catalogue-svc objective headroom cap 200/10s\n"
                           "declare upstream cat-1 service catalogue-svc region gulf zone gulf-a address 127.0.0.1:9001 slots 4 connections 360\n"
                           "declare upstream cat-2 service catalogue-svc region plains zone plains-a address 127.0.0.1:9002 slots 4 connections 360\n"
                           "declare class order may-repeat no; declare tenant museum weight 200; declare block 198.51.100.0/24 region gulf";

Result<Configuration> change(const Configuration &base, const std::string &text)
{
    const auto commands = parseCommands(text);
    cr_assert(commands.has_value(), "%s: %s", text.c_str(), toText(commands.error().findings).c_str());
    return applyCommands(base, commands.value());
}

Configuration base()
{
    auto result = change(Configuration(), s_base);
    cr_assert(result.has_value(), "%s", toText(result.error().findings).c_str());
    return result.value();
}

struct ChangeCase
{
    char text[192];
    /// The table of differences, or the findings, in one line each.
    char expected[256];
};

} // namespace

// Guards against changes that alter something else than what they name.
ParameterizedTestParameters(CommandApply, differences)
{
    static ChangeCase cases[] = {
        {"show hosts", "no difference\n"},
        {"drain region gulf", "changed  region gulf  drained  no -> yes\n"},
        {"drain zone gulf-a", "changed  zone gulf-a  drained  no -> yes\n"},
        {"drain upstream cat-1; undrain upstream cat-1", "no difference\n"},
        {"set upstream cat-1 weight 7", "changed  upstream cat-1  weight  100 -> 7\n"},
        {"set service catalogue-svc cap 5/1s", "changed  service catalogue-svc  cap  200/10000ms -> 5/1000ms\n"},
        {"set region gulf limit 80", "changed  region gulf  limit  100% -> 80%\n"},
        {"set class order may-wait yes", "changed  class order  may-wait  no -> yes\n"},
        {"set block 198.51.100.0/24 region plains", "changed  block 198.51.100.0/24  region  gulf -> plains\n"},
        {"set link gulf to plains capacity 280Mbps", "changed  link gulf to plains  capacity  4000000kbps -> 280000kbps\n"},
        {"remove tenant museum", "removed  tenant museum    weight 200\n"},
        {"remove block 198.51.100.0/24; declare block 198.51.100.0/24 region gulf", "no difference\n"},
        {"declare zone gulf-b region gulf", "added    zone gulf-b    drained no region gulf\n"},
        {"remove region plains; remove upstream cat-2; remove link gulf to plains; declare region plains limit 50%; "
         "declare zone plains-a region plains",
            "removed  link gulf to plains    capacity 4000000kbps delay 12ms\n"
            "removed  upstream cat-2         address 127.0.0.1:9002 connections 360 drained no region plains service catalogue-svc slots 4 weight 100 zone "
            "plains-a\n"},
    };
    return cr_make_param_array(ChangeCase, cases, std::size(cases));
}

ParameterizedTest(ChangeCase *testCase, CommandApply, differences)
{
    const Configuration before = base();
    const auto after = change(before, testCase->text);
    cr_assert(after.has_value(), "%s", toText(after.error().findings).c_str());
    cr_assert_eq(after.value().version.value(), before.version.value() + 1);
    const auto changes = difference(before, after.value());
    const std::string table = toText(changes);
    cr_assert_str_eq(table.c_str(), testCase->expected);
    cr_assert_eq(toJson(changes).size(), changes.size());
}

// Guards against unsound changes that apply, and against findings without their place or hint.
ParameterizedTestParameters(CommandApply, faults)
{
    static ChangeCase cases[] = {
        {"drain region gulff", "1:14: unknown region \"gulff\" (did you mean \"gulf\"?)\n"},
        {"declare region gulf", "1:16: region \"gulf\" is already declared (use \"set\" to change it)\n"},
        {"set link plains to gulf delay 1ms", "1:10: unknown link plains to gulf\n"},
        {"declare link gulf to gulf capacity 1Gbps", "1:22: a link needs two different regions\n"},
        {"set upstream cat-1 zone plains-a", "1:25: region \"gulf\" has no availability zone \"plains-a\"\n"},
        {"set upstream cat-1 region plain", "1:27: unknown region \"plain\" (did you mean \"plains\"?)\n"},
        {"remove region gulf", "1:15: region \"gulf\" is still used by upstream \"cat-1\" (remove or move that too)\n"},
        {"remove zone gulf-a", "1:13: zone \"gulf-a\" is still used by upstream \"cat-1\" (remove or move that too)\n"},
        {"remove tenant x\nset region gulf limit 10; drain zone gulf-z",
            "1:15: unknown tenant \"x\"\n2:38: unknown zone \"gulf-z\" (did you mean \"gulf-a\"?)\n"},
    };
    return cr_make_param_array(ChangeCase, cases, std::size(cases));
}

ParameterizedTest(ChangeCase *testCase, CommandApply, faults)
{
    const auto result = change(base(), testCase->text);
    cr_assert(result.has_error(), "%s was accepted", testCase->text);
    const std::string findings = toText(result.error().findings);
    cr_assert_str_eq(findings.c_str(), testCase->expected);
}

// Guards against a forecast that counts drained slots as room, or forgets the limit of a region.
Test(CommandApply, drainForecast)
{
    const auto commands = parseCommands("what-if drain zone gulf-a");
    const auto &drain = std::get<WhatIfCommand>(commands.value()[0]).drain;
    for (const int inUse : {2, 3}) {
        const auto forecast = forecastDrain(base(), drain, {{UpstreamId("cat-1"), SlotCount(inUse)}});
        cr_assert(forecast.has_value());
        cr_assert_eq(forecast.value().size(), 1);
        cr_assert_eq(forecast.value()[0].slotsDrained, 4);
        cr_assert_eq(forecast.value()[0].slotsLeft, 2);
        cr_assert_eq(forecast.value()[0].fits, inUse == 2);
    }
}
