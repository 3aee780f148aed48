#include "process_signals.h"

#include <sys/signalfd.h>

#include <csignal>

namespace chivelock {

int openSignalFd()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC);
}

bool isStopPending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

} // namespace chivelock
