#pragma once

#include "endivedock/edge/registry.h"
#include "endivedock/zones.h"

namespace endivedock {

/**
 * @return how the placement of a service is divided among zones, by the registered hosts and
 * targets
 */
ZoneDivision divisionOf(const Registry &registry, const ServiceId &service);

} // namespace endivedock
