/**
 * @file signal_mask_func.h
 * Blocks the signals that stop or reload the process while no handler is installed.
 */

#pragma once

namespace chicoryhead {

/**
 * Blocks SIGTERM, SIGINT and SIGHUP, so that they stay pending. Their default action terminates
 * the process, so they are blocked while no handler is installed: before the event loop is
 * created and after it has ended.
 */
void blockControlSignals();

/** Unblocks the control signals; pending ones are delivered at once. */
void unblockControlSignals();

} // namespace chicoryhead
