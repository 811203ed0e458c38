#pragma once

#include "endivedock/directory/listing.h"
#include "endivedock/net.h"

#include <concepts>

namespace endivedock {

/**
 * A source of the platform's list of hosts and targets; list() throws DirectoryError if the list
 * cannot be read.
 */
template <typename D>
concept HostDirectory = requires(D directory) {
    {
        directory.list()
    } -> std::same_as<Task<DirectoryListing>>;
};

} // namespace endivedock
