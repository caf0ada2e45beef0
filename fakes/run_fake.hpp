/// Signal handling that the programs of the stand-ins share.
#pragma once

#include <cstdlib>
#include <iostream>

#include <csignal>
#include <easylogging++.h>

#include <agateseam/error.hpp>

namespace agateseam::fakes
{

/// \brief Prints the port that the stand-in listens on and waits for SIGTERM or SIGINT.
/// \returns the exit code of the program.
template <typename fake_pointer>
int run_until_signal(const result<fake_pointer>& fake)
{
    if (!fake)
    {
        std::cerr << fake.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << (*fake)->port() << std::endl;
    int received_signal = 0;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigwait(&signals, &received_signal);
    return EXIT_SUCCESS;
}

/// \brief Blocks SIGTERM and SIGINT for `sigwait`; must be called before any thread
/// starts.
inline void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace agateseam::fakes
