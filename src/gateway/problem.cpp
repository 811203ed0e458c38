#include "endivedock/gateway/problem.h"

#include <array>
#include <cstdio>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

std::string formatRequestId(RequestId request)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(request.value()));
    return text.data();
}

std::string formatProblem(const Refusal &refusal, RequestId request)
{
    const RefusalDescription &description = describe(refusal.reason);
    boost::json::object problem;
    problem["type"] = "urn:endivedock:refusal:" + std::string(description.name);
    problem["title"] = description.title;
    problem["status"] = description.httpStatus;
    problem["reason"] = description.name;
    problem["run"] = refusal.certainty == RunCertainty::NotRun ? "not-run" : "may-have-run";
    problem["requestId"] = formatRequestId(request);
    return boost::json::serialize(problem) + "\n";
}

} // namespace endivedock
