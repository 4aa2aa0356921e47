#pragma once

#include <LibQuota/lenderchoice.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Trefoil
{

/// A host's request for permits. Number chosen by the borrower, which the reply repeats.
struct PermitRequest
{
    HostId from;
    std::uint64_t number = 0;
    CustomerHash customer;
    std::uint32_t count = 1;
};

/// A lender's reply.
struct PermitReply
{
    HostId from;
    std::uint64_t number = 0;
    /// At most as many as were requested.
    std::uint32_t granted = 0;
    /// Whether the host lends permits for the customer at present.
    bool isLending = false;
    /// Time until the lender has permits again, if it granted fewer than were requested.
    std::chrono::milliseconds timeUntilRoom{0};
};

using QuotaMessage = std::variant<PermitRequest, PermitReply>;

/// Most permits in one message.
inline constexpr std::uint32_t maximumPermits = 100000;
/// Longest time until room that a reply may name.
inline constexpr std::chrono::milliseconds maximumTimeUntilRoom{600000};

/// Encodes a message as CBOR. Precondition: none. Thread safety: safe from any thread.
std::string encodeQuotaMessage(const QuotaMessage &message);

/// Decodes a datagram; nothing when it is not a valid message. Precondition: none. Thread safety: safe from any thread.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

} // namespace Trefoil
