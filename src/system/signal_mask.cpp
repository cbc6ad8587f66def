/**
 * @file signal_mask.cpp
 * The signal mask of the process.
 */

#include "signal_mask_func.h"

#include <csignal>

namespace chicoryhead {

namespace {

/// Changes the mask with plain system calls: it runs before the C++ runtime is initialised.
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
