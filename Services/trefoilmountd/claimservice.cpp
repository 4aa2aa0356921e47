#include <Services/trefoilmountd/claimservice.h>

#include <Services/trefoilmountd/claimwriter.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <utility>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

WallTime wallTimeOf(BootTime time)
{
    return std::chrono::system_clock::now() + std::chrono::duration_cast<WallTime::duration>(time - BootClock::now());
}

/// Suspends the coroutine until the completion function is called with a result, on any thread.
template<typename Start>
ClaimResult waitForResult(const asio::yield_context &yield, Start start)
{
    return asio::async_initiate<const asio::yield_context, void(ClaimResult)>(
        [&start](auto handler) {
            const auto executor = asio::get_associated_executor(handler);
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            start([executor, shared](
                      ClaimResult result) { asio::post(executor, [shared, result = std::move(result)]() mutable { (*shared)(std::move(result)); }); });
        },
        yield);
}

} // namespace

/// The part on the control thread.
class ClaimService::Implementation : public std::enable_shared_from_this<ClaimService::Implementation>
{
public:
    Implementation(asio::io_context &control, TableClient &table, const HostId &host, Incarnation incarnation)
        : m_control(control)
        , m_table(table)
        , m_writer(std::make_shared<ClaimWriter>(control, table))
        , m_claimIdPrefix(fmt::format("{}/{:x}", host.value(), incarnation.value()))
    {
    }

    asio::io_context &control()
    {
        return m_control;
    }

    ClaimWriter &writer()
    {
        return *m_writer;
    }

    std::string nextClaimId()
    {
        return fmt::format("{}/{}", m_claimIdPrefix, m_sequence.fetch_add(1));
    }

    void status(const ClaimKey &key, BootTime deadline, const ClaimWriter::Complete &complete)
    {
        asio::spawn(m_control,
            [self = shared_from_this(), key, deadline, complete](const asio::yield_context &yield) { complete(self->readStatus(key, deadline, yield)); });
    }

private:
    ClaimResult readStatus(const ClaimKey &key, BootTime deadline, const asio::yield_context &yield)
    {
        const RowsResult result = m_table.read({rowKeyOf(key)}, deadline, yield);
        const auto *rows = std::get_if<std::vector<TableRow>>(&result);
        if (!rows) {
            return ClaimUnavailable{};
        }
        if (!rows->empty()) {
            return interpretClaim(rows->front().value, {}, std::chrono::system_clock::now());
        }
        if (keyAge(key.key, std::chrono::system_clock::now()) == KeyAge::Expired) {
            return ClaimKeyExpired{};
        }
        return ClaimNotFound{};
    }

    asio::io_context &m_control;
    TableClient &m_table;
    std::shared_ptr<ClaimWriter> m_writer;
    std::string m_claimIdPrefix;
    std::atomic<std::uint64_t> m_sequence{1};
};

ClaimService::ClaimService(asio::io_context &control, TableClient &table, const HostId &host, Incarnation incarnation)
    : m_implementation(std::make_shared<Implementation>(control, table, host, incarnation))
{
}

ClaimService::~ClaimService() = default;

ClaimResult ClaimService::claim(const ClaimKey &key, BootTime deadline, const asio::yield_context &yield)
{
    if (keyAge(key.key, std::chrono::system_clock::now()) != KeyAge::Current) {
        return ClaimKeyExpired{};
    }
    PendingClaim pending{key, m_implementation->nextClaimId(), deadline, wallTimeOf(deadline), false};
    return waitForResult(yield, [this, &pending](ClaimWriter::Complete complete) {
        asio::post(m_implementation->control(), [implementation = m_implementation, pending, complete = std::move(complete)]() mutable {
            implementation->writer().claim(std::move(pending), std::move(complete));
        });
    });
}

ClaimResult ClaimService::status(const ClaimKey &key, BootTime deadline, const asio::yield_context &yield)
{
    return waitForResult(yield, [this, &key, deadline](ClaimWriter::Complete complete) {
        asio::post(m_implementation->control(),
            [implementation = m_implementation, key, deadline, complete = std::move(complete)] { implementation->status(key, deadline, complete); });
    });
}

void ClaimService::recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response)
{
    asio::post(m_implementation->control(), [implementation = m_implementation, key, claimId, response = std::move(response)]() mutable {
        implementation->writer().recordResponse(key, claimId, std::move(response));
    });
}

void ClaimService::recordNotRun(const ClaimKey &key, const std::string &claimId)
{
    asio::post(m_implementation->control(), [implementation = m_implementation, key, claimId] { implementation->writer().release(key, claimId); });
}

void ClaimService::deleteExpired(const ServiceId &service, const TenantId &tenant)
{
    asio::post(m_implementation->control(), [implementation = m_implementation, service, tenant] { implementation->writer().deleteExpired(service, tenant); });
}

} // namespace Trefoil
