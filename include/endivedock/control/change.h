#pragma once

#include "endivedock/config.h"
#include "endivedock/store.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** A file, or the store, holds something that cannot be applied. */
class ChangeError : public Error
{
public:
    using Error::Error;
};

/** One declaration that is to be written. */
struct Declaration
{
    std::string key;
    std::string value;
    /** The file it comes from, or the command. */
    std::string origin;
};

/** What happens to one key. */
struct KeyChange
{
    std::string key;
    std::optional<std::string> before;
    std::string after;
};

/**
 * Reads one file with a template or a tenant's parameters.
 *
 * @throws ChangeError naming the file, the JSON pointer and what was expected
 */
Declaration readDeclaration(const std::string &path);
/** Reads all .json files of a folder, in the order of their names. @throws ChangeError */
std::vector<Declaration> readDeclarations(const std::string &folder);

/** @return the keys that would change; values are compared as JSON, not as text */
std::vector<KeyChange> diffDeclarations(const StoreSnapshot &present,
                                        const std::vector<Declaration> &wanted);

/**
 * Checks what the store would hold after the change as a whole.
 *
 * @throws ChangeError if it would not be valid
 */
void validateChange(const StoreSnapshot &present, const std::vector<Declaration> &wanted);

/** @return the change as lines that begin with "+" (new) or "~" (changed) */
std::string formatChanges(const std::vector<KeyChange> &changes);

} // namespace endivedock
