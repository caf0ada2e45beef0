#include <net/http_client.hpp>
