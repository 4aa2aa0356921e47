#include <LibCommand/apply.h>
#include <LibCommand/parser.h>
#include <LibConfiguration/json.h>
#include <LibConfiguration/validation.h>

#include <array>
#include <criterion/criterion.h>
#include <pcg_random.hpp>

using namespace Trefoil;

namespace
{

constexpr std::array<const char *, 56> s_words{"declare",
    "set",
    "remove",
    "drain",
    "undrain",
    "show",
    "why",
    "what-if",
    "region",
    "zone",
    "link",
    "service",
    "upstream",
    "class",
    "tenant",
    "block",
    "to",
    "of",
    "limit",
    "delay",
    "capacity",
    "objective",
    "cap",
    "slots",
    "connections",
    "weight",
    "address",
    "may-wait",
    "may-repeat",
    "deadline",
    "progress-timeout",
    "yes",
    "no",
    "latency",
    "10%",
    "5ms",
    "1Gbps",
    "20/10s",
    "7",
    "-1",
    "0",
    "127.0.0.1:80",
    "10.0.0.0/8",
    "gulf",
    "gulf-a",
    "plains",
    "a",
    "b",
    "\n",
    ";",
    "#",
    "%",
    "/",
    "\xff",
    "99999999999999999999",
    "/s"};

/// Texts that once were, or plausibly are, hard to read.
const std::array<std::string, 10> s_corpus{"",
    ";;;\n\n;",
    "#",
    "\r\n\t ;",
    std::string(3, '\0'),
    std::string(100000, 'x'),
    std::string(100000, ';'),
    "set service s cap /",
    "set service s cap 1/",
    "set region r limit %"};

template<std::size_t Size>
std::string randomText(pcg32 &random, const std::array<const char *, Size> &words)
{
    std::string text;
    const std::uint32_t length = random(14);
    for (std::uint32_t i = 0; i < length; ++i) {
        text += words[random(Size)];
        text += random(8) == 0 ? "" : " ";
    }
    return text;
}

void check(const std::string &text, Configuration &configuration)
{
    const auto commands = parseCommands(text);
    if (commands.has_error()) {
        cr_assert(!commands.error().findings.empty());
        cr_assert_leq(commands.error().findings.size(), 101);
        for (const auto &finding : commands.error().findings) {
            nlohmann::json(finding.message).dump();
        }
        return;
    }
    auto applied = applyCommands(configuration, commands.value());
    if (applied.has_value()) {
        cr_assert(validate(applied.value()).empty());
        configuration = std::move(applied.value());
    }
}

} // namespace

// Guards against texts that crash the parser, throw, give an unsound configuration, or findings that are not UTF-8.
Test(CommandFuzz, fixedCorpus)
{
    Configuration configuration;
    for (const auto &text : s_corpus) {
        check(text, configuration);
    }
    pcg32 random(20261204);
    for (int round = 0; round < 50000; ++round) {
        check(randomText(random, s_words), configuration);
    }
    cr_assert_gt(configuration.version.value(), 0);
}
