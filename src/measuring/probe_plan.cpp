#include "endivedock/measuring/probe_plan.h"
