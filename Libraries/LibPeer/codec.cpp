#include <LibPeer/codec.h>

#include <LibConfiguration/validation.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace Trefoil
{

using nlohmann::json;

namespace
{

template<typename Message>
struct MessageTag
{
};

/// Names in heartbeats and the type's member are short: with long ones the heartbeats of an idle host took 3,076 B/s, sent and received
/// together, more than the 2 KB/s that all control traffic of a host may take.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> s_typeNames{"hello",
    "hb",
    "hba",
    "prepare",
    "prepare-ack",
    "commit",
    "commit-ack",
    "fetch-configuration",
    "configuration-copy",
    "reclaim-vote-request",
    "reclaim-vote",
    "await",
    "changes"};

/// Operation ids and reasons are short; the limit keeps a peer from filling logs with them.
constexpr std::size_t s_longestShortText = 512;
/// A push is forwarded to the hosts of one availability zone, about 50 at the two-year target; a table's changes are more.
constexpr std::size_t s_mostListEntries = 10000;

/// One list of fields serves both directions, so that no field is written but not read.
template<typename Fields, typename Message>
void describe(MessageTag<Hello> /*tag*/, Fields &fields, Message &message)
{
    fields.host("host", message.host);
    fields.number("incarnation", message.incarnation);
    fields.shortText("secret", message.secret);
}

template<typename Fields, typename Message>
void describe(MessageTag<Heartbeat> /*tag*/, Fields &fields, Message &message)
{
    fields.number("seq", message.sequence);
    fields.number("inc", message.incarnation);
    fields.number("ep", message.epoch);
    fields.number("v", message.configuration);
    fields.slots("fs", message.freeSlots);
    fields.boolean("out", message.leaving);
}

template<typename Fields, typename Message>
void describe(MessageTag<HeartbeatAck> /*tag*/, Fields &fields, Message &message)
{
    fields.number("seq", message.sequence);
    fields.number("ep", message.epoch);
    fields.number("v", message.configuration);
    fields.boolean("ok", message.confirmed);
}

template<typename Fields, typename Message>
void describe(MessageTag<Prepare> /*tag*/, Fields &fields, Message &message)
{
    fields.shortText("operation", message.operation);
    fields.number("version", message.version);
    fields.digest("digest", message.digest);
    fields.text("commands", message.commands);
}

template<typename Fields, typename Message>
void describe(MessageTag<PrepareAck> /*tag*/, Fields &fields, Message &message)
{
    fields.shortText("operation", message.operation);
    fields.number("version", message.version);
    fields.boolean("accepted", message.accepted);
    fields.shortText("reason", message.reason);
}

template<typename Fields, typename Message>
void describe(MessageTag<Commit> /*tag*/, Fields &fields, Message &message)
{
    fields.number("version", message.version);
    fields.digest("digest", message.digest);
    fields.hosts("forwardTo", message.forwardTo);
}

template<typename Fields, typename Message>
void describe(MessageTag<CommitAck> /*tag*/, Fields &fields, Message &message)
{
    fields.number("version", message.version);
}

template<typename Fields, typename Message>
void describe(MessageTag<FetchConfiguration> /*tag*/, Fields &fields, Message &message)
{
    fields.number("newerThan", message.newerThan);
}

template<typename Fields, typename Message>
void describe(MessageTag<ConfigurationCopy> /*tag*/, Fields &fields, Message &message)
{
    fields.number("version", message.version);
    fields.digest("digest", message.digest);
    fields.text("document", message.document);
}

template<typename Fields, typename Message>
void describe(MessageTag<ReclaimVoteRequest> /*tag*/, Fields &fields, Message &message)
{
    fields.host("host", message.host);
    fields.number("epoch", message.epoch);
    fields.number("ballot", message.ballot);
}

template<typename Fields, typename Message>
void describe(MessageTag<ReclaimVote> /*tag*/, Fields &fields, Message &message)
{
    fields.host("host", message.host);
    fields.number("epoch", message.epoch);
    fields.number("ballot", message.ballot);
    fields.boolean("granted", message.granted);
}

template<typename Fields, typename Message>
void describe(MessageTag<AwaitChanges> /*tag*/, Fields &fields, Message &message)
{
    fields.number("seq", message.sequence);
    fields.shortText("tab", message.table);
    fields.number("v", message.after);
    fields.number("ms", message.waitMilliseconds);
    fields.optionalNumber("era", message.era);
}

template<typename Fields, typename Message>
void describe(MessageTag<ChangesSince> /*tag*/, Fields &fields, Message &message)
{
    fields.number("seq", message.sequence);
    fields.boolean("ok", message.isServed);
    fields.number("v", message.version);
    fields.texts("keys", message.keys);
    fields.texts("values", message.values);
    fields.numbers("versions", message.versions);
    fields.numbers("removed", message.removed);
    fields.boolean("all", message.isWholeTable);
    fields.number("age", message.ageMilliseconds);
    fields.number("proof", message.proofAgeMilliseconds);
    fields.optionalNumber("era", message.era);
}

/// Writes the fields of a message into a JSON object.
class FieldWriter
{
public:
    explicit FieldWriter(json &object)
        : m_object(object)
    {
    }

    void host(const char *name, const HostId &value)
    {
        m_object[name] = value.value();
    }
    void hosts(const char *name, const std::vector<HostId> &values)
    {
        json list = json::array();
        for (const auto &value : values) {
            list.push_back(value.value());
        }
        m_object[name] = std::move(list);
    }
    void number(const char *name, std::uint64_t value)
    {
        m_object[name] = value;
    }
    template<typename Tag>
    void number(const char *name, const StrongId<Tag, std::uint64_t> &value)
    {
        m_object[name] = value.value();
    }
    /// Left out when it is 0, as in messages of hosts that don't know the field.
    template<typename Tag>
    void optionalNumber(const char *name, const StrongId<Tag, std::uint64_t> &value)
    {
        if (value.value() != 0) {
            number(name, value);
        }
    }
    void slots(const char *name, SlotCount value)
    {
        m_object[name] = value.value();
    }
    void boolean(const char *name, bool value)
    {
        m_object[name] = value;
    }
    void text(const char *name, const std::string &value)
    {
        m_object[name] = value;
    }
    void shortText(const char *name, const std::string &value)
    {
        m_object[name] = value.substr(0, s_longestShortText);
    }
    void digest(const char *name, const std::string &value)
    {
        m_object[name] = value;
    }
    void texts(const char *name, const std::vector<std::string> &values)
    {
        m_object[name] = values;
    }
    void numbers(const char *name, const std::vector<std::uint64_t> &values)
    {
        m_object[name] = values;
    }

private:
    json &m_object;
};

using FieldValue = std::variant<std::monostate, bool, std::uint64_t, std::string, std::vector<std::string>, std::vector<std::uint64_t>>;
using FieldMap = std::map<std::string, FieldValue>;

/// Collects one flat map from the CBOR reader. Anything nested deeper than a list of texts or of numbers is refused, so
/// that hostile input cannot exhaust the stack.
class FlatMapReader : public json::json_sax_t
{
public:
    FieldMap takeFields()
    {
        return std::move(m_fields);
    }

    bool null() override
    {
        return setValue(std::monostate());
    }
    bool boolean(bool value) override
    {
        return setValue(value);
    }
    bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming): named by the library
    {
        return value >= 0 && setValue(static_cast<std::uint64_t>(value));
    }
    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming): named by the library
    {
        if (m_list) {
            return addToList(m_list->numbers, static_cast<std::uint64_t>(value));
        }
        return setValue(static_cast<std::uint64_t>(value));
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override // NOLINT(readability-identifier-naming): named by the library
    {
        return setValue(std::monostate());
    }
    bool string(string_t &value) override
    {
        if (m_list) {
            return addToList(m_list->texts, std::move(value));
        }
        return setValue(std::move(value));
    }
    bool binary(binary_t & /*value*/) override
    {
        return false;
    }
    bool start_object(std::size_t /*size*/) override // NOLINT(readability-identifier-naming): named by the library
    {
        const bool isFirst = !m_inObject;
        m_inObject = true;
        return isFirst;
    }
    bool key(string_t &value) override
    {
        m_key = std::move(value);
        return m_fields.count(m_key) == 0;
    }
    bool end_object() override // NOLINT(readability-identifier-naming): named by the library
    {
        return true;
    }
    bool start_array(std::size_t /*size*/) override // NOLINT(readability-identifier-naming): named by the library
    {
        if (!m_inObject || m_list) {
            return false;
        }
        m_list.emplace();
        return true;
    }
    bool end_array() override // NOLINT(readability-identifier-naming): named by the library
    {
        List list = std::move(*m_list);
        m_list.reset();
        if (!list.numbers.empty()) {
            return list.texts.empty() && setValue(std::move(list.numbers));
        }
        return setValue(std::move(list.texts));
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const json::exception & /*error*/) override // NOLINT
    {
        return false;
    }

private:
    struct List
    {
        std::vector<std::string> texts;
        std::vector<std::uint64_t> numbers;
    };

    template<typename Entry>
    static bool addToList(std::vector<Entry> &list, Entry entry)
    {
        if (list.size() >= s_mostListEntries) {
            return false;
        }
        list.push_back(std::move(entry));
        return true;
    }

    bool setValue(FieldValue value)
    {
        if (!m_inObject || m_list) {
            return false;
        }
        m_fields[m_key] = std::move(value);
        return true;
    }

    FieldMap m_fields;
    std::string m_key;
    std::optional<List> m_list;
    bool m_inObject = false;
};

/// Moves checked fields into a message and keeps the first fault.
class FieldReader
{
public:
    explicit FieldReader(FieldMap fields)
        : m_fields(std::move(fields))
    {
    }

    const std::string &fault() const
    {
        return m_fault;
    }

    void host(const char *name, HostId &target)
    {
        std::string value;
        text(name, value);
        require(isValidName(value), name, "is not a host name");
        target = HostId(std::move(value));
    }
    void hosts(const char *name, std::vector<HostId> &target)
    {
        std::vector<std::string> values;
        read(name, values);
        for (auto &value : values) {
            require(isValidName(value), name, "holds something that is not a host name");
            target.emplace_back(std::move(value));
        }
    }
    void number(const char *name, std::uint64_t &target)
    {
        read(name, target);
    }
    template<typename Tag>
    void number(const char *name, StrongId<Tag, std::uint64_t> &target)
    {
        std::uint64_t value = 0;
        read(name, value);
        target = StrongId<Tag, std::uint64_t>(value);
    }
    template<typename Tag>
    void optionalNumber(const char *name, StrongId<Tag, std::uint64_t> &target)
    {
        if (m_fields.count(name) > 0) {
            number(name, target);
        }
    }
    void slots(const char *name, SlotCount &target)
    {
        std::uint64_t value = 0;
        read(name, value);
        const bool inRange = value <= static_cast<std::uint64_t>(std::numeric_limits<std::int32_t>::max());
        require(inRange, name, "is out of range");
        target = SlotCount(inRange ? static_cast<std::int32_t>(value) : 0);
    }
    void boolean(const char *name, bool &target)
    {
        read(name, target);
    }
    void text(const char *name, std::string &target)
    {
        read(name, target);
    }
    void shortText(const char *name, std::string &target)
    {
        read(name, target);
        require(target.size() <= s_longestShortText, name, "is too long");
    }
    void digest(const char *name, std::string &target)
    {
        constexpr std::size_t digestLength = 32;
        read(name, target);
        const bool isHexadecimal = target.find_first_not_of("0123456789abcdef") == std::string::npos;
        require(target.size() == digestLength && isHexadecimal, name, "is not a digest");
    }
    void texts(const char *name, std::vector<std::string> &target)
    {
        read(name, target);
    }
    void numbers(const char *name, std::vector<std::uint64_t> &target)
    {
        const auto position = m_fields.find(name);
        const auto *texts = position == m_fields.end() ? nullptr : std::get_if<std::vector<std::string>>(&position->second);
        // An empty list has no type of its own.
        if (texts == nullptr || !texts->empty()) {
            read(name, target);
        }
    }

private:
    template<typename Value>
    void read(const char *name, Value &target)
    {
        const auto position = m_fields.find(name);
        if (position == m_fields.end()) {
            require(false, name, "is missing");
            return;
        }
        auto *value = std::get_if<Value>(&position->second);
        if (value == nullptr) {
            require(false, name, "has the wrong type");
            return;
        }
        target = std::move(*value);
    }

    void require(bool condition, const char *name, const char *message)
    {
        if (!condition && m_fault.empty()) {
            m_fault = fmt::format("field \"{}\" {}", name, message);
        }
    }

    FieldMap m_fields;
    std::string m_fault;
};

Error protocolError(std::string message)
{
    return Error{ErrorCode::Protocol, std::move(message)};
}

template<typename Message>
Result<PeerMessage> readMessage(FieldMap fields)
{
    FieldReader reader(std::move(fields));
    Message message;
    describe(MessageTag<Message>{}, reader, message);
    if (!reader.fault().empty()) {
        return protocolError(reader.fault());
    }
    return PeerMessage(std::move(message));
}

template<std::size_t Index = 0>
Result<PeerMessage> readMessageOfType(const std::string &type, FieldMap fields)
{
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        if (type == s_typeNames[Index]) {
            return readMessage<std::variant_alternative_t<Index, PeerMessage>>(std::move(fields));
        }
        return readMessageOfType<Index + 1>(type, std::move(fields));
    } else {
        return protocolError(fmt::format("unknown message type \"{}\"", type.substr(0, s_longestShortText)));
    }
}

/// Whether some part has no declared length. The encoder writes none; the library reads texts of this form recursively, so that nested
/// ones would exhaust the stack. Parts of lists and maps follow their heads, so that one pass over all heads sees every part.
bool hasUndeclaredLength(std::string_view bytes)
{
    constexpr unsigned undeclared = 31;
    constexpr unsigned firstLengthInFollowingBytes = 24;
    constexpr unsigned lastLengthInFollowingBytes = 27;
    constexpr unsigned byteString = 2;
    constexpr unsigned textString = 3;
    std::size_t position = 0;
    while (position < bytes.size()) {
        const auto head = static_cast<unsigned char>(bytes[position++]);
        const unsigned type = head >> 5U;
        const unsigned information = head & 31U;
        if (information == undeclared) {
            return true;
        }
        std::uint64_t value = information;
        if (information >= firstLengthInFollowingBytes && information <= lastLengthInFollowingBytes) {
            value = 0;
            for (std::size_t left = std::size_t{1} << (information - firstLengthInFollowingBytes); left > 0 && position < bytes.size(); --left) {
                value = value << 8U | static_cast<unsigned char>(bytes[position++]);
            }
        }
        if (type == byteString || type == textString) {
            position += static_cast<std::size_t>(std::min<std::uint64_t>(value, bytes.size() - position));
        }
    }
    return false;
}

Result<PeerMessage> decodeChecked(std::string_view bytes)
{
    if (hasUndeclaredLength(bytes)) {
        return protocolError("a part of the message has no declared length");
    }
    FlatMapReader reader;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &reader, json::input_format_t::cbor)) {
        return protocolError("the message is not one flat CBOR map");
    }
    FieldMap fields = reader.takeFields();
    const auto *type = std::get_if<std::string>(&fields["t"]);
    if (type == nullptr) {
        return protocolError("the message has no type");
    }
    const std::string typeName = *type;
    return readMessageOfType(typeName, std::move(fields));
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    json object = json::object();
    object["t"] = s_typeNames[message.index()];
    FieldWriter writer(object);
    std::visit([&writer](const auto &value) { describe(MessageTag<std::decay_t<decltype(value)>>{}, writer, value); }, message);
    std::string bytes;
    json::to_cbor(object, bytes);
    return bytes;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        return decodeChecked(bytes);
    } catch (const std::exception &exception) {
        // The CBOR reader reports some faults, such as absurd lengths, by exceptions only.
        return protocolError(exception.what());
    }
}

} // namespace Trefoil
