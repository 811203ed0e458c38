#pragma once

/** Public header of the directory slice: the platform's lagging list of hosts and targets. */

#include "endivedock/directory/directory_concept.h"
#include "endivedock/directory/http_directory.h"
#include "endivedock/directory/listing.h"
