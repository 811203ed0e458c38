#pragma once

#include <stdexcept>
#include <string>

namespace endivedock {

/**
 * Base of all errors of the product. Each layer derives its own type and turns the errors of the
 * layer below into it, so that a caller sees one layer only.
 */
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A broken invariant. The process logs it and stops instead of going on with a wrong state. */
class InvariantError : public Error
{
public:
    using Error::Error;
};

/**
 * Asserts an invariant in every build.
 *
 * @throws InvariantError if @p holds is false
 */
inline void requireInvariant(bool holds, const char *what)
{
    if (!holds)
        throw InvariantError(std::string("invariant broken: ") + what);
}

} // namespace endivedock
