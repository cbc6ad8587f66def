/**
 * @file signal_mask_func.h
 * Delays the signals that stop or reload a process while nobody handles them.
 */

#pragma once

namespace chicoryhead {

/**
 * Keeps SIGTERM, SIGINT and SIGHUP pending. Their default action ends a process, so they are held
 * while no handler is installed: before the event loop exists, and after it has ended.
 */
void blockControlSignals();

/** Delivers pending control signals and those that follow. */
void unblockControlSignals();

} // namespace chicoryhead
