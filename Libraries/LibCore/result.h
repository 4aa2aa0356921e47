#pragma once

#include <LibCore/findings.h>

#include <boost/outcome/result.hpp>
#include <string>

namespace Trefoil
{

enum class ErrorCode {
    InvalidInput,
    NotFound,
    Conflict,
    Timeout,
    Unavailable,
    Refused,
    Protocol,
    Internal,
};

/// An error with its kind, a message for people and, for bad input, all findings.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Findings findings{};
};

/// A value or an Error. Access is checked by assertions only, as for Boost.Outcome's all_narrow policy.
template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace Trefoil
