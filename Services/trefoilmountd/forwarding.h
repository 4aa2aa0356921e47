#pragma once

#include <LibHttp/connectionpool.h>
#include <Services/trefoilmountd/requestmodel.h>

#include <string>

namespace Trefoil
{

/// Copies end-to-end headers, that is all except connection headers, credentials of this system and its
/// `Trefoil-` headers. Precondition: none. Thread safety: safe from any thread.
void copyEndToEndHeaders(const HttpHeaders &from, HttpHeaders &to);

/// Adds the remaining time in whole milliseconds, rounded down but at least 1.
/// Precondition: the request has no such header. Thread safety: safe from any thread.
void addDeadline(HttpRequest &request, BootTime deadline, BootTime now);

/// The reason that metrics and responses report for a failed call. Precondition: none. Thread safety: safe from any thread.
std::string reasonOf(CallFailureKind kind);

/// Builds the request for an upstream, except for the remaining time, which addDeadline() adds when it is sent.
/// Precondition: none. Thread safety: safe from any thread.
HttpRequest makeUpstreamRequest(const ClassifiedRequest &request, const HttpRequest &original);

/// The check filter: converts the result of a call to an upstream to the end of the request. Precondition: none. Thread safety: safe from any thread.
RequestEnd endOfCall(CallResult result);

/// The respond filter: builds the response for the caller. Precondition: none. Thread safety: safe from any thread.
HttpResponse respond(RequestEnd end, const RequestId &id);

/// Adds the outcome "not-run" to the response to invalid input, because a request that was rejected did not run.
/// Precondition: status is an error. Thread safety: safe from any thread.
HttpResponse rejectInput(HttpResponse rejection);

} // namespace Trefoil
