/**
 * @file signal_mask.cpp
 * Blocks and unblocks the control signals of the process.
 */

#include "signal_mask_func.h"

#include <csignal>

namespace chicoryhead {

namespace {

/// Uses only system calls, because it runs before the C++ runtime is initialised.
void changeMask(int operation)
{
    sigset_t controlSignals;
    ::sigemptyset(&controlSignals);
    ::sigaddset(&controlSignals, SIGTERM);
    ::sigaddset(&controlSignals, SIGINT);
    ::sigaddset(&controlSignals, SIGHUP);
    ::sigprocmask(operation, &controlSignals, nullptr);
}

} // namespace

void blockControlSignals()
{
    changeMask(SIG_BLOCK);
}

void unblockControlSignals()
{
    changeMask(SIG_UNBLOCK);
}

} // namespace chicoryhead
