#pragma once

#include "endivedock/config.h"
#include "endivedock/gateway/http_message.h"
#include "endivedock/gateway/request_plan.h"

#include <concepts>
#include <string>
#include <variant>

namespace endivedock {

/** A refusal as it is written to the caller. */
struct RefusalResponse
{
    ResponseHead head;
    std::string body;
};

/** Whose an answer is that arrives from a target. */
enum class ResponseOrigin {
    /** It answers the request that was sent. */
    ThisRequest,
    /** It answers another request; ours may follow. */
    AnotherRequest,
    /** Nothing on this connection can be trusted any more. */
    Unusable,
};

/** One attempt as its target is to see it. */
struct AttemptContext
{
    TargetId target;
    /** Attempts that came before. */
    std::size_t previousAttempts = 0;
    Milliseconds timeLeft{0};
};

/**
 * One interface towards callers and targets: how a request names its service, deadline and id, how
 * a refusal says whether the request was run, and which fields of an answer are meant for us.
 */
template <typename F>
concept FrontEnd =
        requires(F front, const RequestHead &request, const RequestPlan &plan, TimePoint now,
                 HeaderFields &fields, const AttemptContext &attempt, const ResponseHead &answer,
                 const HeaderField &field, const Refusal &refusal, RequestId id) {
            {
                front.limits()
            } -> std::same_as<CallerLimits>;
            {
                front.plan(request, now)
            } -> std::same_as<std::variant<RequestPlan, Refusal>>;
            /** Sets the fields that the target is to get from us. */
            {
                front.setRequestFields(fields, plan, attempt, id)
            } -> std::same_as<void>;
            {
                front.origin(answer, plan)
            } -> std::same_as<ResponseOrigin>;
            {
                front.report(answer)
            } -> std::same_as<TargetReport>;
            /** @return whether the field of an answer is not passed on */
            {
                front.isInternal(field)
            } -> std::same_as<bool>;
            /** Sets the fields of an answer that the caller gets from us. */
            {
                front.setResponseFields(fields, id)
            } -> std::same_as<void>;
            {
                front.formatRefusal(refusal, request, id)
            } -> std::same_as<RefusalResponse>;
        };

/** The product's own interface; see docs/OPERATORS.md. */
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
    ResponseOrigin origin(const ResponseHead &answer, const RequestPlan &plan) const;
    TargetReport report(const ResponseHead &answer) const;
    bool isInternal(const HeaderField &field) const;
    void setResponseFields(HeaderFields &fields, RequestId id) const;
    RefusalResponse formatRefusal(const Refusal &refusal, const RequestHead &request,
                                  RequestId id) const;

private:
    const NewestConfiguration *m_configuration;
};

static_assert(FrontEnd<NativeFrontEnd>);

/** Replaces all fields of this name by one. */
void setField(HeaderFields &fields, std::string_view name, std::string value);

} // namespace endivedock
