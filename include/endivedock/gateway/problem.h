#pragma once

#include "endivedock/core.h"

#include <string>

namespace endivedock {

/** @return the body of a refusal in the form of RFC 9457, application/problem+json */
std::string formatProblem(const Refusal &refusal, RequestId request);

/** @return the form of a request's id in headers and logs: 16 hexadecimal digits */
std::string formatRequestId(RequestId request);

} // namespace endivedock
