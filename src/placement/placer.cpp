#include "endivedock/placement/placer.h"

namespace endivedock {

template class BasicPlacer<FreeSlotFirst>;

} // namespace endivedock
