#pragma once

/**
 * Public header of the teams library, which tells from a caller's key which team the caller belongs
 * to.
 */

#include "endivedock/teams/team_directory.h"
