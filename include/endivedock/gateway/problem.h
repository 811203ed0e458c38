#pragma once

#include "endivedock/core.h"

#include <string>

namespace endivedock {

/** @return the body of a refusal as problem details (RFC 9457, application/problem+json) */
std::string formatProblem(const Refusal &refusal, RequestId request);

/** @return a request id as 16 hexadecimal digits, as in header fields and problem details */
std::string formatRequestId(RequestId request);

} // namespace endivedock
