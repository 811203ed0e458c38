#include "endivedock/gateway/body_reader.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Request bodies up to this size are buffered for retries; longer ones are streamed. */
constexpr std::size_t maxBufferedBodyBytes = 512 * 1024;
/** First size of the buffer, which then doubles when it is full. */
constexpr std::size_t firstBufferBytes = 32 * 1024;
/**
 * Held beside the buffer of a body: the read buffer, and what the caller's socket holds while the
 * body is not read.
 */
constexpr std::size_t connectionBytes = 64 * 1024;

/** Time from which on a caller whose request is refused loses its place, however fast it sends. */
constexpr Seconds maxDiscardTime{10};

Refusal makeRefusal(RefusalReason reason)
{
    return Refusal{reason, RunCertainty::NotRun};
}

/** Ends the exchange of a request whose memory another needs. */
void endExchange(CallerSession &session)
{
    if (session.isReadingAlone()) {
        // The reader refuses the request.
        session.caller().cancelRead();
        return;
    }
    session.caller().abort();
    session.disconnect();
}

MemoryHold openBodyHold(const SessionPtr &session, MemoryGate &gate)
{
    return gate.open([owner = std::weak_ptr<CallerSession>(session)] {
        if (const SessionPtr live = owner.lock())
            endExchange(*live);
    });
}

/** Reads the body while the buffer may grow. @return see bufferBody() */
Task<std::optional<Refusal>> fillBuffer(SessionPtr session, RequestPtr request, MemoryGate &gate)
{
    CallerConnection &caller = session->caller();
    std::vector<char> &body = request->bufferedBody;
    const BodyFraming &framing = request->head.framing;
    const std::uint64_t maxBodyBytes = request->plan.maxBodySize.value();
    // One byte more than is allowed tells that the body is too large.
    const std::size_t bufferLimit =
            std::min<std::uint64_t>({framing.length.value_or(maxBufferedBodyBytes),
                                     maxBufferedBodyBytes, maxBodyBytes + 1});
    std::size_t filled = 0;
    while (!caller.isBodyComplete() && filled < bufferLimit) {
        if (filled == body.size()) {
            const std::size_t size =
                    std::min(bufferLimit, std::max(firstBufferBytes, 2 * body.size()));
            if (!co_await gate.reserve(request->memory, Bytes(connectionBytes + size),
                                       request->plan.deadline))
                co_return makeRefusal(RefusalReason::MemoryShort);
            body.resize(size);
            request->memory.awaitCaller(request->plan.deadline);
        }
        const std::size_t count =
                co_await caller.readBody({body.data() + filled, body.size() - filled});
        if (request->memory.isLost())
            co_return makeRefusal(RefusalReason::MemoryShort);
        request->memory.recordProgress(Bytes(count));
        filled += count;
        if (filled > maxBodyBytes)
            co_return makeRefusal(RefusalReason::BodyTooLarge);
    }
    body.resize(filled);
    co_return std::nullopt;
}

} // namespace

Task<std::optional<Refusal>> bufferBody(SessionPtr session, RequestPtr request, MemoryGate &gate)
{
    if (session->caller().isBodyComplete()) {
        request->isBodyBuffered = true;
        co_return std::nullopt;
    }
    request->memory = openBodyHold(session, gate);
    std::optional<Refusal> refusal;
    try {
        refusal = co_await fillBuffer(session, request, gate);
    } catch (const CallerError &) {
        if (!request->memory.isLost() || session->isDisconnected())
            throw;
        refusal = makeRefusal(RefusalReason::MemoryShort);
    }
    if (refusal) {
        request->bufferedBody = {};
        request->memory.release();
        co_return refusal;
    }
    request->memory.stopAwaiting();
    request->isBodyBuffered = session->caller().isBodyComplete();
    // The socket can still hold a part of a body that is streamed.
    if (request->isBodyBuffered)
        request->memory.tryHold(Bytes(request->bufferedBody.capacity()));
    co_return std::nullopt;
}

Task<> discardBody(SessionPtr session, RequestPtr request, MemoryGate &gate)
{
    CallerConnection &caller = session->caller();
    if (!caller.isBodyComplete())
        request->memory = openBodyHold(session, gate);
    // Without memory for the connection, the refusal is sent at once and closes it.
    if (!request->memory.tryHold(Bytes(connectionBytes)))
        co_return;
    request->memory.awaitCaller(SteadyClock().now() + maxDiscardTime);
    std::size_t discarded = 0;
    try {
        while (!caller.isBodyComplete() && discarded < maxBufferedBodyBytes &&
               !request->memory.isLost()) {
            const std::size_t count = co_await caller.discardBody();
            request->memory.recordProgress(Bytes(count));
            discarded += count;
        }
    } catch (const CallerError &) {
        if (!request->memory.isLost() || session->isDisconnected())
            throw;
    }
    request->memory.release();
    request->isBodyBuffered = caller.isBodyComplete();
}

} // namespace endivedock
