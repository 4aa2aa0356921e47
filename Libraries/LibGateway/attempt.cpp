#include <LibGateway/attempt.h>

namespace Trefoil
{

namespace
{

constexpr int s_misdirected = 421;
constexpr int s_firstSuccess = 200;
constexpr int s_firstRedirect = 300;
constexpr int s_firstServerError = 500;
constexpr int s_unavailable = 503;

AttemptEnd classifyFailure(const CallFailure &failure)
{
    AttemptEnd end;
    end.reason = toText(failure.kind);
    end.execution = failure.anyByteWritten ? Execution::Possible : Execution::NotRun;
    end.wasSent = failure.anyByteWritten;
    end.isPoolExhausted = failure.kind == CallFailureKind::PoolExhausted;
    switch (failure.kind) {
    case CallFailureKind::Cancelled:
    // A further attempt would lack the memory or the connection, too, and neither says anything about the upstream's health.
    case CallFailureKind::NoMemory:
    case CallFailureKind::PoolExhausted:
        end.outcome = AttemptOutcome::Cancelled;
        break;
    case CallFailureKind::NoConnection:
        // The limit on connections of this host to the upstream was reached, which says nothing about the upstream's health.
        end.outcome = AttemptOutcome::Shed;
        break;
    case CallFailureKind::ConnectFailed:
    case CallFailureKind::ConnectTimeout:
        end.outcome = AttemptOutcome::Unreachable;
        break;
    case CallFailureKind::DeadlineExceeded:
    case CallFailureKind::Stalled:
        end.outcome = AttemptOutcome::Broken;
        end.timedOut = true;
        break;
    default:
        end.outcome = AttemptOutcome::Broken;
        break;
    }
    return end;
}

bool isSuccess(int status)
{
    return status >= s_firstSuccess && status < s_firstRedirect;
}

} // namespace

AttemptEnd classifyCall(CallResult result, const GatewayHeaders &headers)
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        return classifyFailure(*failure);
    }
    HttpResponse &response = std::get<HttpResponse>(result);
    AttemptEnd end;
    end.load = parseLoadReport(response.headers.value(headers.load));
    if (response.status == s_misdirected) {
        end.outcome = AttemptOutcome::Shed;
        end.execution = Execution::NotRun;
        end.reason = "misdirected";
        end.isMisdirected = true;
        return end;
    }
    end.isUpstreamLeaving = response.headers.value(headers.leaving) == "1";
    if (response.status == s_unavailable) {
        end.requestedPause = parseRequestedPause(response.headers);
    }
    if (response.headers.find(headers.notRun)) {
        end.outcome = AttemptOutcome::Shed;
        end.execution = Execution::NotRun;
        end.reason = "shed";
        return end;
    }
    if (response.headers.find("Content-Encoding")) {
        // The gateway requests no encoding, so an encoded body can't come from the upstream itself.
        end.outcome = AttemptOutcome::Broken;
        end.reason = "unexpected-encoding";
        return end;
    }
    if (isSuccess(response.status) && !headers.stamp.empty() && response.headers.value(headers.stamp).empty()) {
        // A head without its signature lost lines, maybe those of the body's length, too.
        end.outcome = AttemptOutcome::Broken;
        end.reason = "unsigned-success";
        return end;
    }
    end.outcome = response.status >= s_firstServerError ? AttemptOutcome::Failed : AttemptOutcome::Success;
    end.reason = response.status >= s_firstServerError ? "upstream-error" : "";
    end.response = std::move(response);
    return end;
}

} // namespace Trefoil
