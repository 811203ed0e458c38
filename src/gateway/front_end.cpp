#include "endivedock/gateway/front_end.h"

#include "endivedock/gateway/problem.h"
#include "endivedock/gateway/target_pause.h"

#include <algorithm>

namespace endivedock {

void setField(HeaderFields &fields, std::string_view name, std::string value)
{
    std::erase_if(fields, [name](const HeaderField &field) { return isNamed(field, name); });
    fields.push_back({std::string(name), std::move(value)});
}

namespace {

constexpr unsigned unavailable = 503;

/** @return the id under which a target knows the request: that of the caller, if there is one */
std::string sentRequestId(const RequestPlan &plan, RequestId id)
{
    return plan.callerRequestId.empty() ? formatRequestId(id) : plan.callerRequestId;
}

} // namespace

std::variant<RequestPlan, Refusal> NativeFrontEnd::plan(const RequestHead &request,
                                                        TimePoint now) const
{
    const auto declarations = m_configuration->declarations();
    return planRequest(request, declarations.get(), now);
}

void NativeFrontEnd::setRequestFields(HeaderFields &fields, const RequestPlan &plan,
                                      const AttemptContext &attempt, RequestId id) const
{
    if (plan.hidesCallerKey)
        std::erase_if(fields, [](const HeaderField &field) {
            return isNamed(field, authorizationField) || isNamed(field, callingTeamField);
        });
    if (!plan.team.value().empty())
        setField(fields, callingTeamField, plan.team.value());
    const std::int64_t timeLeft = std::max<std::int64_t>(attempt.timeLeft.count(), 0);
    setField(fields, timeoutField, std::to_string(timeLeft));
    setField(fields, requestIdField, sentRequestId(plan, id));
    if (attempt.previousAttempts > 0)
        setField(fields, retryField, std::to_string(attempt.previousAttempts));
}

ResponseOrigin NativeFrontEnd::origin(const ResponseHead &response, const RequestPlan &plan,
                                      RequestId id) const
{
    const auto answeredId = findField(response.fields, requestIdField);
    // The field is optional in responses; with it, a late copy of an earlier answer is recognised.
    return answeredId && *answeredId != sentRequestId(plan, id) ? ResponseOrigin::AnotherRequest
                                                                : ResponseOrigin::ThisRequest;
}

TargetReport NativeFrontEnd::extractTargetReport(const ResponseHead &response) const
{
    TargetReport report = parseTargetReport(response.fields);
    report.notRun = report.notRun && response.status == unavailable;
    if (response.status == unavailable)
        readPause(response.fields, SecondsForm::Whole, report);
    return report;
}

bool NativeFrontEnd::isInternal(const HeaderField &field) const
{
    return isNamed(field, incarnationField) || isNamed(field, loadReportField) ||
           isNamed(field, targetStateField);
}

void NativeFrontEnd::setResponseFields(HeaderFields &fields, RequestId id) const
{
    setField(fields, requestIdField, formatRequestId(id));
}

RefusalResponse NativeFrontEnd::formatRefusal(const Refusal &refusal, const RequestHead &,
                                              RequestId id) const
{
    const RefusalDescription &description = describe(refusal.reason);
    const bool notRun = refusal.certainty == RunCertainty::NotRun;
    RefusalResponse result;
    result.body = formatProblem(refusal, id);
    result.head.status = description.httpStatus;
    result.head.fields = {{"Content-Type", "application/problem+json"},
                          {std::string(notRunField), notRun ? "true" : "false"},
                          {std::string(requestIdField), formatRequestId(id)}};
    if (description.httpStatus == 401)
        result.head.fields.push_back({std::string(challengeField), std::string(bearerScheme)});
    if (description.retryAfter.count() > 0) {
        const Seconds delay =
                std::max(description.retryAfter,
                         std::chrono::ceil<Seconds>(refusal.retryAfter.value_or(Milliseconds(0))));
        result.head.fields.push_back({"Retry-After", std::to_string(delay.count())});
    }
    return result;
}

} // namespace endivedock
