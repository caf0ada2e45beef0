#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
