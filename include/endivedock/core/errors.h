#pragma once

#include <stdexcept>
#include <string>

namespace endivedock {

/**
 * Base class of all exceptions of endivedock. Each layer derives its own types and converts the
 * exceptions of the layer below, so that its users handle the types of one layer only.
 */
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** An invariant is violated. The process logs the error and stops, because its state is invalid. */
class InvariantError : public Error
{
public:
    using Error::Error;
};

/**
 * Checks an invariant in every type of build.
 *
 * @param what  the violated invariant, for the error message
 * @throws InvariantError if @p holds is false
 */
inline void requireInvariant(bool holds, const char *what)
{
    if (!holds)
        throw InvariantError(std::string("invariant violated: ") + what);
}

} // namespace endivedock
