/// The version of the library.
#pragma once

#define AGATESEAM_VERSION_MAJOR 0
#define AGATESEAM_VERSION_MINOR 1
#define AGATESEAM_VERSION_PATCH 0
#define AGATESEAM_VERSION "0.1.0"
