#include <LibQuota/quotamessages.h>

#include <nlohmann/json.hpp>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_maximumBytes = 512;

struct Encoder
{
    nlohmann::json operator()(const PermitRequest &request) const
    {
        return {
            {"quota", "request"}, {"from", request.from.value()}, {"number", request.number}, {"customer", request.customer.value()}, {"count", request.count}};
    }
    nlohmann::json operator()(const PermitReply &reply) const
    {
        return {{"quota", "reply"},
            {"from", reply.from.value()},
            {"number", reply.number},
            {"granted", reply.granted},
            {"lending", reply.isLending},
            {"waitMs", static_cast<std::uint64_t>(reply.timeUntilRoom.count())}};
    }
};

/// The unsigned number at a name; nothing when it is absent, of another type or above the limit.
std::optional<std::uint64_t> numberAt(const nlohmann::json &document, const char *name, std::uint64_t limit)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > limit) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<QuotaMessage> decodeRequest(const nlohmann::json &document, HostId from, std::uint64_t number)
{
    const auto customer = numberAt(document, "customer", UINT64_MAX);
    const auto count = numberAt(document, "count", maximumPermits);
    if (!customer || !count || *count == 0) {
        return std::nullopt;
    }
    return PermitRequest{std::move(from), number, CustomerHash(*customer), static_cast<std::uint32_t>(*count)};
}

std::optional<QuotaMessage> decodeReply(const nlohmann::json &document, HostId from, std::uint64_t number)
{
    const auto granted = numberAt(document, "granted", maximumPermits);
    const auto wait = numberAt(document, "waitMs", static_cast<std::uint64_t>(maximumTimeUntilRoom.count()));
    if (!granted || !wait) {
        return std::nullopt;
    }
    return PermitReply{std::move(from), number, static_cast<std::uint32_t>(*granted), document.at("lending").get<bool>(), std::chrono::milliseconds(*wait)};
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    const auto bytes = nlohmann::json::to_cbor(std::visit(Encoder{}, message));
    return {bytes.begin(), bytes.end()};
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes)
{
    if (bytes.size() > s_maximumBytes) {
        return std::nullopt;
    }
    try {
        // Declared sizes that exceed the memory throw even with exceptions off; other errors only discard the document.
        const auto document = nlohmann::json::from_cbor(bytes, true, false);
        if (document.is_discarded() || !document.is_object()) {
            return std::nullopt;
        }
        const auto kind = document.at("quota").get<std::string>();
        HostId from(document.at("from").get<std::string>());
        const auto number = numberAt(document, "number", UINT64_MAX);
        if (!number || (kind != "request" && kind != "reply")) {
            return std::nullopt;
        }
        return kind == "request" ? decodeRequest(document, std::move(from), *number) : decodeReply(document, std::move(from), *number);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Trefoil
