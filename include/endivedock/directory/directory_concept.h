#pragma once

#include "endivedock/directory/listing.h"
#include "endivedock/net.h"

#include <concepts>

namespace endivedock {

/** Where the list comes from; list() throws DirectoryError when there is none to be had. */
template <typename D>
concept HostDirectory = requires(D directory) {
    {
        directory.list()
    } -> std::same_as<Task<DirectoryListing>>;
};

} // namespace endivedock
