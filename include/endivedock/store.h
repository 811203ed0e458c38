#pragma once

/**
 * Public header of the store slice: the platform's key-value service as the rest of the code sees
 * it, and the adapter for the JSON gateway of the etcd v3 protocol.
 */

#include "endivedock/store/etcd_store.h"
#include "endivedock/store/store_concept.h"
