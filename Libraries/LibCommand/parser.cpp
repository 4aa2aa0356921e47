#include <LibCommand/parser.h>

#include <LibCommand/lexer.h>
#include <LibConfiguration/validation.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/network_v4.hpp>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_mostFindings = 100;
/// A longer word is cut in findings; a pasted file without line ends would fill the report.
constexpr std::size_t s_longestQuote = 64;

constexpr std::array<const char *, 8> s_entityKeywords{"region", "zone", "link", "service", "upstream", "class", "tenant", "block"};
constexpr std::array<const char *, 6> s_showKeywords{"configuration", "services", "upstreams", "hosts", "traffic", "grants"};

std::string quoted(const std::string &word)
{
    return fmt::format("\"{}\"", word.size() > s_longestQuote ? word.substr(0, s_longestQuote) + "..." : word);
}

/// A number followed by one of some units, for example 10s.
struct Unit
{
    const char *name;
    std::int64_t factor;
};

constexpr std::array<Unit, 4> s_timeUnits{{{"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}}};
constexpr std::array<Unit, 3> s_rateUnits{{{"kbps", 1}, {"Mbps", 1000}, {"Gbps", 1000000}}};

/// Reads the words of one command and adds findings to a list shared by all commands.
class CommandParser
{
public:
    CommandParser(const TokenLine &line, Findings &findings)
        : m_line(line)
        , m_findings(findings)
    {
    }

    std::optional<Command> run()
    {
        const std::size_t findingsBefore = m_findings.size();
        std::optional<Command> command = readCommand();
        if (m_findings.size() == findingsBefore && m_position < m_line.tokens.size()) {
            add(current().place, fmt::format("unexpected {}", quoted(current().text)), "commands are separated by ';' or a line end");
        }
        return m_findings.size() == findingsBefore ? std::move(command) : std::nullopt;
    }

private:
    template<typename P>
    struct Property
    {
        const char *keyword;
        void (*read)(CommandParser &parser, P &properties);
        bool isRequired = false;
    };

    std::optional<Command> readCommand()
    {
        const std::string verb = takeKeyword("a command", {"declare", "set", "remove", "drain", "undrain", "show", "why", "what-if"});
        if (verb == "declare") {
            EntityName entity = readEntity();
            return DeclareCommand{entity, readProperties(entity.kind, true)};
        }
        if (verb == "set") {
            EntityName entity = readEntity();
            return SetCommand{entity, readProperties(entity.kind, false)};
        }
        if (verb == "remove") {
            return RemoveCommand{readEntity()};
        }
        if (verb == "drain" || verb == "undrain") {
            return readDrain(verb == "drain");
        }
        if (verb == "show") {
            return readShow();
        }
        if (verb == "why") {
            return readWhy();
        }
        if (verb == "what-if") {
            takeKeyword("a change", {"drain"});
            return WhatIfCommand{readDrain(true)};
        }
        return std::nullopt;
    }

    EntityName readEntity()
    {
        return readEntity({s_entityKeywords.begin(), s_entityKeywords.end()});
    }

    EntityName readEntity(const std::vector<std::string> &allowed)
    {
        EntityName entity;
        const std::string keyword = takeKeyword("a kind", allowed);
        if (keyword.empty()) {
            skipRest();
            return entity;
        }
        const auto *const position = std::find(s_entityKeywords.begin(), s_entityKeywords.end(), keyword);
        entity.kind = static_cast<EntityKind>(position - s_entityKeywords.begin());
        entity.name = entity.kind == EntityKind::Block ? readBlock() : readName("the name");
        if (entity.kind == EntityKind::Link) {
            takeKeyword("the link's other end", {"to"});
            entity.linkTo = readName("the region at the other end");
        }
        return entity;
    }

    Properties readProperties(EntityKind kind, bool isDeclaration)
    {
        switch (kind) {
        case EntityKind::Region:
            return readProperties<RegionProperties>(regionProperties(), isDeclaration);
        case EntityKind::Zone:
            return readProperties<ZoneProperties>(zoneProperties(), isDeclaration);
        case EntityKind::Link:
            return readProperties<LinkProperties>(linkProperties(), isDeclaration);
        case EntityKind::Service:
            return readProperties<ServiceProperties>(serviceProperties(), isDeclaration);
        case EntityKind::Upstream:
            return readProperties<UpstreamProperties>(upstreamProperties(), isDeclaration);
        case EntityKind::Class:
            return readProperties<ClassProperties>(classProperties(), isDeclaration);
        case EntityKind::Tenant:
            return readProperties<TenantProperties>(tenantProperties(), isDeclaration);
        case EntityKind::Block:
            return readProperties<BlockProperties>(blockProperties(), isDeclaration);
        }
        return RegionProperties{};
    }

    static std::vector<Property<RegionProperties>> regionProperties()
    {
        return {{"limit", [](CommandParser &parser, RegionProperties &properties) { properties.limitPercent = parser.readPercent(); }}};
    }

    static std::vector<Property<ZoneProperties>> zoneProperties()
    {
        return {{"region", [](CommandParser &parser, ZoneProperties &properties) { properties.region = parser.readName("a region"); }, true}};
    }

    static std::vector<Property<LinkProperties>> linkProperties()
    {
        return {{"delay", [](CommandParser &parser, LinkProperties &properties) { properties.delay = parser.readDuration(0, s_longestDelay); }},
            {"capacity", [](CommandParser &parser, LinkProperties &properties) { properties.capacity = parser.readRate(); }, true}};
    }

    static std::vector<Property<ServiceProperties>> serviceProperties()
    {
        return {{"objective", [](CommandParser &parser, ServiceProperties &properties) { properties.objective = parser.readObjective(); }},
            {"cap", [](CommandParser &parser, ServiceProperties &properties) { properties.shiftCap = parser.readCap(); }}};
    }

    static std::vector<Property<UpstreamProperties>> upstreamProperties()
    {
        return {{"service", [](CommandParser &parser, UpstreamProperties &properties) { properties.service = parser.readName("a service"); }, true},
            {"region", [](CommandParser &parser, UpstreamProperties &properties) { properties.region = parser.readName("a region"); }, true},
            {"zone", [](CommandParser &parser, UpstreamProperties &properties) { properties.zone = parser.readName("an availability zone"); }, true},
            {"address", [](CommandParser &parser, UpstreamProperties &properties) { properties.address = parser.readAddress(); }, true},
            {"slots", [](CommandParser &parser, UpstreamProperties &properties) { properties.slots = SlotCount(parser.readCount(1, s_maximumSlots)); }, true},
            {"connections",
                [](CommandParser &parser, UpstreamProperties &properties) { properties.connections = ConnectionCount(parser.readCount(1, s_maximumSlots)); },
                true},
            {"weight", [](CommandParser &parser, UpstreamProperties &properties) { properties.weight = parser.readCount(0, s_maximumWeight); }}};
    }

    static std::vector<Property<ClassProperties>> classProperties()
    {
        return {{"may-wait", [](CommandParser &parser, ClassProperties &properties) { properties.mayWait = parser.readYesOrNo(); }},
            {"may-repeat", [](CommandParser &parser, ClassProperties &properties) { properties.mayRepeat = parser.readYesOrNo(); }},
            {"deadline", [](CommandParser &parser, ClassProperties &properties) { properties.deadline = parser.readDuration(1, s_longestMilliseconds); }},
            {"progress-timeout",
                [](CommandParser &parser, ClassProperties &properties) { properties.progressTimeout = parser.readDuration(1, s_longestMilliseconds); }}};
    }

    static std::vector<Property<TenantProperties>> tenantProperties()
    {
        return {{"weight", [](CommandParser &parser, TenantProperties &properties) { properties.weight = parser.readCount(1, s_maximumWeight); }}};
    }

    static std::vector<Property<BlockProperties>> blockProperties()
    {
        return {{"region", [](CommandParser &parser, BlockProperties &properties) { properties.region = parser.readName("a region"); }, true}};
    }

    /// Reads pairs of a property's name and value up to the end of the command.
    template<typename P>
    P readProperties(const std::vector<Property<P>> &known, bool isDeclaration)
    {
        P properties;
        std::vector<std::string> keywords;
        keywords.reserve(known.size());
        for (const auto &property : known) {
            keywords.emplace_back(property.keyword);
        }
        std::vector<bool> given(known.size(), false);
        while (m_position < m_line.tokens.size()) {
            readProperty(known, keywords, given, properties);
        }
        reportMissing(known, given, isDeclaration);
        return properties;
    }

    template<typename P>
    void readProperty(const std::vector<Property<P>> &known, const std::vector<std::string> &keywords, std::vector<bool> &given, P &properties)
    {
        const SourcePlace place = current().place;
        const std::string keyword = takeKeyword("a property", keywords);
        if (keyword.empty()) {
            // The word after an unknown property is most likely its value.
            m_position = std::min(m_position + 1, m_line.tokens.size());
            return;
        }
        const auto index = static_cast<std::size_t>(std::find(keywords.begin(), keywords.end(), keyword) - keywords.begin());
        if (given[index]) {
            add(place, fmt::format("{} is given twice", quoted(keyword)));
        }
        given[index] = true;
        known[index].read(*this, properties);
    }

    template<typename P>
    void reportMissing(const std::vector<Property<P>> &known, const std::vector<bool> &given, bool isDeclaration)
    {
        for (std::size_t i = 0; isDeclaration && i < known.size(); ++i) {
            if (known[i].isRequired && !given[i]) {
                add(m_line.end, fmt::format("property \"{}\" is missing", known[i].keyword));
            }
        }
        if (!isDeclaration && std::find(given.begin(), given.end(), true) == given.end()) {
            add(m_line.end, "nothing to set");
        }
    }

    DrainCommand readDrain(bool drained)
    {
        return {readEntity({"region", "zone", "upstream"}), drained};
    }

    ShowCommand readShow()
    {
        ShowCommand command;
        const std::string keyword = takeKeyword("a table", {s_showKeywords.begin(), s_showKeywords.end()});
        if (keyword.empty()) {
            return command;
        }
        command.subject = static_cast<ShowSubject>(std::find(s_showKeywords.begin(), s_showKeywords.end(), keyword) - s_showKeywords.begin());
        const bool mayNameService =
            command.subject == ShowSubject::Upstreams || command.subject == ShowSubject::Traffic || command.subject == ShowSubject::Grants;
        if (mayNameService && m_position < m_line.tokens.size()) {
            takeKeyword("the selection", {"of"});
            command.service = readName("a service");
        }
        return command;
    }

    WhyCommand readWhy()
    {
        WhyCommand command{readEntity({"tenant", "service"}), std::nullopt};
        if (m_position < m_line.tokens.size()) {
            takeKeyword("the selection", {"to"});
            command.region = readName("a region");
        }
        return command;
    }

    // One word of each kind. A wrong word is consumed and reported; the value returned for it is never used.

    const Token &current() const
    {
        return m_line.tokens[m_position];
    }

    void skipRest()
    {
        m_position = m_line.tokens.size();
    }

    /// The next word, or nothing and a finding when the command has ended.
    const Token *take(const std::string &expected)
    {
        if (m_position >= m_line.tokens.size()) {
            add(m_line.end, fmt::format("{} is missing", expected));
            return nullptr;
        }
        return &m_line.tokens[m_position++];
    }

    std::string takeKeyword(const std::string &expected, const std::vector<std::string> &keywords)
    {
        const Token *token = take(expected);
        if (token == nullptr) {
            return {};
        }
        if (std::find(keywords.begin(), keywords.end(), token->text) != keywords.end()) {
            return token->text;
        }
        const std::string nearest = nearestNameHint(token->text.substr(0, s_longestQuote), keywords);
        add(token->place, fmt::format("{} is not {}", quoted(token->text), expected), nearest.empty() ? "one of " + joined(keywords) : nearest);
        return {};
    }

    static std::string joined(const std::vector<std::string> &words)
    {
        std::string text;
        for (const auto &word : words) {
            text += (text.empty() ? "" : ", ") + word;
        }
        return text;
    }

    SourceName readName(const std::string &expected)
    {
        const Token *token = take(expected);
        if (token == nullptr) {
            return {};
        }
        if (!isValidName(token->text)) {
            add(token->place,
                fmt::format("{} is not a valid name", quoted(token->text)),
                "1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit");
        }
        return {token->text, token->place};
    }

    SourceName readBlock()
    {
        const Token *token = take("a client block");
        if (token == nullptr) {
            return {};
        }
        boost::system::error_code error;
        const auto network = boost::asio::ip::make_network_v4(token->text, error);
        if (error || network != network.canonical()) {
            add(token->place, fmt::format("{} is not an IPv4 block", quoted(token->text)), "for example 198.51.100.0/24, with no host bits set");
        }
        return {token->text, token->place};
    }

    std::string readAddress()
    {
        const Token *token = take("an address");
        if (token == nullptr) {
            return {};
        }
        if (!isValidAddress(token->text)) {
            add(token->place, fmt::format("{} is not an IPv4 number and port", quoted(token->text)), "for example 127.0.0.1:9001");
        }
        return token->text;
    }

    bool readYesOrNo()
    {
        return takeKeyword("yes or no", {"yes", "no"}) == "yes";
    }

    Objective readObjective()
    {
        return takeKeyword("an objective", {"latency", "headroom"}) == "headroom" ? Objective::Headroom : Objective::Latency;
    }

    std::int32_t readCount(std::int32_t low, std::int32_t high)
    {
        const Token *token = take("a number");
        return token == nullptr ? low : static_cast<std::int32_t>(toNumber(*token, token->text, low, high));
    }

    std::int32_t readPercent()
    {
        const Token *token = take("a percentage");
        if (token == nullptr) {
            return 100;
        }
        const bool hasSign = token->text.back() == '%';
        return static_cast<std::int32_t>(toNumber(*token, hasSign ? token->text.substr(0, token->text.size() - 1) : token->text, 1, 100));
    }

    Milliseconds readDuration(std::int64_t low, std::int64_t high)
    {
        const Token *token = take("a duration");
        return token == nullptr ? Milliseconds(low) : toDuration(*token, token->text, low, high);
    }

    KilobitsPerSecond readRate()
    {
        const Token *token = take("a capacity");
        if (token == nullptr) {
            return KilobitsPerSecond(1);
        }
        return KilobitsPerSecond(toNumberWithUnit(*token, token->text, s_rateUnits, "for example 280Mbps", 1, s_maximumKilobits));
    }

    ShiftCap readCap()
    {
        const Token *token = take("a cap");
        if (token == nullptr) {
            return {};
        }
        const auto slash = token->text.find('/');
        if (slash == std::string::npos) {
            add(token->place, fmt::format("{} is not a cap", quoted(token->text)), "requests per interval, for example 200/10s");
            return {};
        }
        ShiftCap cap;
        cap.requests = RequestCount(toNumber(*token, token->text.substr(0, slash), 0, s_maximumRequests));
        cap.interval = toDuration(*token, token->text.substr(slash + 1), 1, s_longestMilliseconds);
        return cap;
    }

    Milliseconds toDuration(const Token &token, const std::string &text, std::int64_t low, std::int64_t high)
    {
        return Milliseconds(toNumberWithUnit(token, text, s_timeUnits, "for example 500ms, 10s, 5min or 1h", low, high));
    }

    std::int64_t toNumber(const Token &token, const std::string &text, std::int64_t low, std::int64_t high)
    {
        std::int64_t number = 0;
        const char *end = text.data() + text.size();
        const auto [position, error] = std::from_chars(text.data(), end, number);
        if (text.empty() || position != end || error != std::errc()) {
            add(token.place, fmt::format("{} is not a number", quoted(token.text)));
            return low;
        }
        if (number < low || number > high) {
            add(token.place, fmt::format("{} is not between {} and {}", number, low, high));
        }
        return number;
    }

    template<typename Units>
    std::int64_t toNumberWithUnit(const Token &token, const std::string &text, const Units &units, const std::string &hint, std::int64_t low, std::int64_t high)
    {
        std::int64_t number = 0;
        const char *end = text.data() + text.size();
        const auto [position, error] = std::from_chars(text.data(), end, number);
        const std::string_view name(position, static_cast<std::size_t>(end - position));
        const auto unit = std::find_if(units.begin(), units.end(), [&name](const Unit &candidate) { return name == candidate.name; });
        if (error != std::errc() || unit == units.end()) {
            add(token.place, fmt::format("{} is not a number with a unit", quoted(token.text)), hint);
            return low;
        }
        if (number < 0 || number > high / unit->factor || number * unit->factor < low) {
            add(token.place, fmt::format("{} is out of range", quoted(token.text)));
            return low;
        }
        return number * unit->factor;
    }

    void add(const SourcePlace &place, std::string message, std::string hint = {})
    {
        m_findings.push_back({toText(place), std::move(message), std::move(hint)});
    }

    // The ranges are those of the validation of a whole configuration.
    static constexpr std::int32_t s_maximumSlots = 100000;
    static constexpr std::int32_t s_maximumWeight = 10000;
    static constexpr std::int64_t s_maximumKilobits = 1000000000;
    static constexpr std::int64_t s_maximumRequests = 1000000000;
    static constexpr std::int64_t s_longestDelay = 10000;
    static constexpr std::int64_t s_longestMilliseconds = std::int64_t{24} * 3600 * 1000;

    const TokenLine &m_line;
    Findings &m_findings;
    std::size_t m_position = 0;
};

} // namespace

const char *entityKeyword(EntityKind kind)
{
    return s_entityKeywords[static_cast<std::size_t>(kind)];
}

bool isChange(const Command &command)
{
    return std::holds_alternative<DeclareCommand>(command) || std::holds_alternative<SetCommand>(command) || std::holds_alternative<RemoveCommand>(command)
        || std::holds_alternative<DrainCommand>(command);
}

std::string toText(const SourcePlace &place)
{
    return fmt::format("{}:{}", place.line, place.column);
}

std::string nearestNameHint(const std::string &word, const std::vector<std::string> &names)
{
    const std::string nearest = nearestName(word, names);
    return nearest.empty() ? "" : fmt::format("did you mean \"{}\"?", nearest);
}

Result<std::vector<Command>> parseCommands(std::string_view text)
{
    std::vector<Command> commands;
    Findings findings;
    for (const auto &line : splitCommands(text)) {
        std::optional<Command> command = CommandParser(line, findings).run();
        if (command) {
            commands.push_back(std::move(*command));
        }
        if (findings.size() >= s_mostFindings) {
            findings.resize(s_mostFindings);
            findings.push_back({toText(line.end), "further findings were left out", {}});
            break;
        }
    }
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "the commands are invalid", std::move(findings)};
    }
    return commands;
}

} // namespace Trefoil
