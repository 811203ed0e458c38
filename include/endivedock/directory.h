#pragma once

/**
 * Public header of the directory library: the platform's list of hosts and targets, which may be
 * outdated.
 */

#include "endivedock/directory/directory_concept.h"
#include "endivedock/directory/http_directory.h"
#include "endivedock/directory/listing.h"
