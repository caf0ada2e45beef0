/// The platform's object API over HTTP.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <agateseam/object_store.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief Where the platform's object API is and how long a call may take.
struct object_store_options
{
    std::string url; ///< Such as "http://127.0.0.1:9000".
    std::chrono::milliseconds timeout{2'000};
};

/// \brief Makes a client of the platform's object API.
/// \param client must outlive the store.
[[nodiscard]] result<std::unique_ptr<object_store>>
make_http_object_store(const object_store_options& options, http_client& client);

} // namespace agateseam
