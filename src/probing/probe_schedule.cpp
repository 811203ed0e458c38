#include "endivedock/probing/probe_schedule.h"
