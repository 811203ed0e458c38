#pragma once

/**
 * Public header of the store library: the concept of the platform's key-value store, and a client
 * for the JSON gateway of the etcd v3 protocol.
 */

#include "endivedock/store/etcd_store.h"
#include "endivedock/store/store_concept.h"
