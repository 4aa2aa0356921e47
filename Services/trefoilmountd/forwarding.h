#pragma once

#include <LibHttp/connectionpool.h>
#include <Services/trefoilmountd/requestmodel.h>

#include <string>

namespace Trefoil
{

/// Copies the headers that concern caller and upstream only: neither those of one connection, nor credentials of this
/// system, nor its own `Trefoil-` headers. Precondition: none. Thread safety: safe from any thread.
void copyEndToEndHeaders(const HttpHeaders &from, HttpHeaders &to);

/// Adds the time left in whole milliseconds, rounded down but at least 1. Precondition: the request has no such header. Thread safety: safe from any thread.
void addDeadline(HttpRequest &request, BootTime deadline, BootTime now);

/// The reason in metrics and responses for a failed call. Precondition: none. Thread safety: safe from any thread.
std::string reasonOf(CallFailureKind kind);

/// The request as it is sent to an upstream, still without the time left. Precondition: none. Thread safety: safe from any thread.
HttpRequest makeUpstreamRequest(const ClassifiedRequest &request, const HttpRequest &original);

/// The check filter: what a call to an upstream means for the request. Precondition: none. Thread safety: safe from any thread.
RequestEnd endOfCall(CallResult result);

/// The respond filter: the response for the caller. Precondition: none. Thread safety: safe from any thread.
HttpResponse respond(RequestEnd end, const RequestId &id);

/// Adds the outcome to the answer to bad input, which certainly did not run.
/// Precondition: status is an error. Thread safety: safe from any thread.
HttpResponse rejectInput(HttpResponse rejection);

} // namespace Trefoil
