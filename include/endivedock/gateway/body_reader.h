#pragma once

#include "endivedock/admission.h"
#include "endivedock/gateway/caller_session.h"

#include <optional>

namespace endivedock {

/**
 * Reads the body of a request into its buffer, up to a size from which on the rest is streamed. The
 * memory is reserved as the body arrives.
 *
 * @return why the request must be refused without having run: its body is too large, or the host
 *         has no memory for it. The rest of the body is then not read.
 * @throws CallerError if the connection failed
 * @throws CallerRequestError if the body is malformed
 */
Task<std::optional<Refusal>> bufferBody(SessionPtr session, RequestPtr request, MemoryGate &gate);

/**
 * Reads the body of a request that is refused whatever it contains, up to the size of a buffered
 * body, and keeps nothing of it.
 */
Task<> discardBody(SessionPtr session, RequestPtr request, MemoryGate &gate);

} // namespace endivedock
