#pragma once

#include "endivedock/config.h"
#include "endivedock/gateway/http_message.h"
#include "endivedock/gateway/request_plan.h"

#include <concepts>
#include <string>
#include <variant>

namespace endivedock {

/** The HTTP response that reports a refusal to the caller. */
struct RefusalResponse
{
    ResponseHead head;
    std::string body;
};

/** Which request a response from a target belongs to. */
enum class ResponseOrigin {
    /** The response belongs to the request that was sent. */
    ThisRequest,
    /** The response belongs to another request; the response to the sent request may follow. */
    AnotherRequest,
    /** The response is invalid, and nothing further on the connection can be trusted. */
    Unusable,
};

/** Properties of an attempt that are sent to its target. */
struct AttemptContext
{
    TargetId target;
    /** Earlier attempts of the same request. */
    std::size_t previousAttempts = 0;
    /** Time until the request's deadline. */
    Milliseconds timeLeft{0};
};

/**
 * The HTTP conventions used with callers and targets: how a request names its service, deadline and
 * id, how a refusal says whether the request was run, and which header fields of a response are
 * intended for the load balancer only.
 */
template <typename F>
concept FrontEnd =
        requires(F frontEnd, const RequestHead &request, const RequestPlan &plan, TimePoint now,
                 HeaderFields &fields, const AttemptContext &attempt, const ResponseHead &response,
                 const HeaderField &field, const Refusal &refusal, RequestId id) {
            /** @return the limits on the connections of callers */
            {
                frontEnd.limits()
            } -> std::same_as<CallerLimits>;
            /** @return the plan of a request, or the refusal if the request must not be run */
            {
                frontEnd.plan(request, now)
            } -> std::same_as<std::variant<RequestPlan, Refusal>>;
            /** Sets the request header fields that the load balancer adds for the target. */
            {
                frontEnd.setRequestFields(fields, plan, attempt, id)
            } -> std::same_as<void>;
            /** @param id  id of the request, as in setRequestFields() */
            {
                frontEnd.origin(response, plan, id)
            } -> std::same_as<ResponseOrigin>;
            /** @return what the target reports about itself in a response header */
            {
                frontEnd.extractTargetReport(response)
            } -> std::same_as<TargetReport>;
            /** @return whether a response header field is withheld from the caller */
            {
                frontEnd.isInternal(field)
            } -> std::same_as<bool>;
            /** Sets the response header fields that the load balancer adds for the caller. */
            {
                frontEnd.setResponseFields(fields, id)
            } -> std::same_as<void>;
            /** @return the response that reports a refusal to the caller */
            {
                frontEnd.formatRefusal(refusal, request, id)
            } -> std::same_as<RefusalResponse>;
        };

/** The native HTTP conventions of endivedock; see docs/OPERATORS.md. */
class NativeFrontEnd
{
public:
    /** @param configuration  must outlive this object */
    explicit NativeFrontEnd(const NewestConfiguration &configuration)
        : m_configuration(&configuration)
    {
    }

    CallerLimits limits() const { return {}; }
    std::variant<RequestPlan, Refusal> plan(const RequestHead &request, TimePoint now) const;
    void setRequestFields(HeaderFields &fields, const RequestPlan &plan,
                          const AttemptContext &attempt, RequestId id) const;
    ResponseOrigin origin(const ResponseHead &response, const RequestPlan &plan,
                          RequestId id) const;
    TargetReport extractTargetReport(const ResponseHead &response) const;
    bool isInternal(const HeaderField &field) const;
    void setResponseFields(HeaderFields &fields, RequestId id) const;
    RefusalResponse formatRefusal(const Refusal &refusal, const RequestHead &request,
                                  RequestId id) const;

private:
    const NewestConfiguration *m_configuration;
};

static_assert(FrontEnd<NativeFrontEnd>);

/** Replaces all fields with the name @p name by one field with the value @p value. */
void setField(HeaderFields &fields, std::string_view name, std::string value);

} // namespace endivedock
