#pragma once

#include "endivedock/config.h"
#include "endivedock/store.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** A file or the store holds a declaration that cannot be applied. */
class ChangeError : public Error
{
public:
    using Error::Error;
};

/** One declaration that is to be written to the store. */
struct Declaration
{
    std::string key;
    std::string value;
    /** The file or command that the declaration comes from. */
    std::string origin;
};

/** The change of one key of the store. */
struct KeyChange
{
    std::string key;
    /** JSON text in the store; absent if the key is new. */
    std::optional<std::string> before;
    /** JSON text that is to be written. */
    std::string after;
};

/**
 * Reads and validates one file with a template or a team's parameters.
 *
 * @throws ChangeError with the file, the JSON pointer and the expected value
 */
Declaration readDeclaration(const std::string &path);
/**
 * Reads all .json files of a folder, in the order of their names.
 *
 * @throws ChangeError if a file is not valid, if two files declare the same key, or if the folder
 * has no .json file
 */
std::vector<Declaration> readDeclarations(const std::string &folder);

/** @return the keys whose values would change; values are compared as JSON, not as text */
std::vector<KeyChange> diffDeclarations(const StoreSnapshot &present,
                                        const std::vector<Declaration> &desired);

/**
 * Validates all declarations that the store would hold after the change, against each other.
 *
 * @throws ChangeError if they are not valid
 */
void validateChange(const StoreSnapshot &present, const std::vector<Declaration> &desired);

/**
 * @return for each key a line that begins with "+" (new) or "~" (changed), then the value before
 *         the change, if any, and the value after the change, each on a line of its own
 */
std::string formatChanges(const std::vector<KeyChange> &changes);

} // namespace endivedock
