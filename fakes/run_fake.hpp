/// What the stand-ins' programs share: run until told to stop.
#pragma once

#include <cstdlib>
#include <iostream>

#include <csignal>
#include <easylogging++.h>

#include <agateseam/error.hpp>

namespace agateseam::fakes
{

/// \brief Prints the port and waits for SIGTERM or SIGINT.
/// \returns the program's exit code.
template <typename Fake>
int run_until_signal(const result<Fake>& fake)
{
    if (!fake)
    {
        std::cerr << fake.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << (*fake)->port() << std::endl;
    int received = 0;
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    sigwait(&wanted, &received);
    return EXIT_SUCCESS;
}

/// \brief Blocks the signals that end the program; call before any thread starts.
inline void block_signals()
{
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    pthread_sigmask(SIG_BLOCK, &wanted, nullptr);
}

} // namespace agateseam::fakes
