#include "endivedock/gateway/front_end.h"

#include "endivedock/gateway/problem.h"

#include <algorithm>

namespace endivedock {

void setField(HeaderFields &fields, std::string_view name, std::string value)
{
    std::erase_if(fields, [name](const HeaderField &field) { return isNamed(field, name); });
    fields.push_back({std::string(name), std::move(value)});
}

std::variant<RequestPlan, Refusal> OwnFrontEnd::plan(const RequestHead &request,
                                                     TimePoint now) const
{
    const auto declarations = m_configuration->declarations();
    return planRequest(request, declarations.get(), now);
}

void OwnFrontEnd::prepare(HeaderFields &fields, const RequestPlan &, const AttemptTerms &terms,
                          RequestId id) const
{
    const std::int64_t left = std::max<std::int64_t>(terms.left.count(), 0);
    setField(fields, timeoutField, std::to_string(left));
    if (!findField(fields, requestIdField))
        setField(fields, requestIdField, formatRequestId(id));
    if (terms.earlier > 0)
        setField(fields, retryField, std::to_string(terms.earlier));
}

AnswerOrigin OwnFrontEnd::origin(const AnswerHead &, const RequestPlan &) const
{
    return AnswerOrigin::Ours;
}

TargetReport OwnFrontEnd::report(const AnswerHead &answer) const
{
    TargetReport report = parseTargetReport(answer.fields);
    report.notRun = report.notRun && answer.status == 503;
    return report;
}

bool OwnFrontEnd::isInternal(const HeaderField &field) const
{
    return isNamed(field, incarnationField) || isNamed(field, loadReportField) ||
           isNamed(field, targetStateField);
}

void OwnFrontEnd::finish(HeaderFields &fields, RequestId id) const
{
    setField(fields, requestIdField, formatRequestId(id));
}

RefusalAnswer OwnFrontEnd::refuse(const Refusal &refusal, const RequestHead &, RequestId id) const
{
    const RefusalDescription &description = describe(refusal.reason);
    const bool notRun = refusal.certainty == RunCertainty::NotRun;
    RefusalAnswer result;
    result.body = formatProblem(refusal, id);
    result.head.status = description.httpStatus;
    result.head.fields = {{"Content-Type", "application/problem+json"},
                          {std::string(notRunField), notRun ? "true" : "false"},
                          {std::string(requestIdField), formatRequestId(id)}};
    if (description.retryAfter.count() > 0)
        result.head.fields.push_back(
                {"Retry-After", std::to_string(description.retryAfter.count())});
    return result;
}

} // namespace endivedock
