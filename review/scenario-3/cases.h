/**
 * @file cases.h
 * The cases of the review that are scripts.
 */

#pragma once

#include "fleet.h"

namespace chicoryhead::review {

/** Outcome of a case, as the exit status of its script. */
enum class case_outcome : int { Held = 0, Broken = 1, NotRun = 2 };

/** All instances are killed after a series of configurations that exceeds a limit when watched. */
case_outcome runOversizedWatch(const fleet_plan &plan, recorder &record, bool hasTrouble);

/** Idle store connections went silent some time before the instances that read the store are lost.
 */
case_outcome runSilentConnections(const fleet_plan &plan, recorder &record, bool hasTrouble);

} // namespace chicoryhead::review
