/// A client of the platform's object API over HTTP.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <agateseam/object_store.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief The URL of the platform's object API and the time-out of its calls.
struct object_store_options
{
    std::string url; ///< Such as "http://127.0.0.1:9000".
    std::chrono::milliseconds timeout{2'000};
};

/// \brief Creates a client of the platform's object API.
/// \param client must outlive the store.
[[nodiscard]] result<std::unique_ptr<object_store>>
make_http_object_store(const object_store_options& options, http_client& client);

} // namespace agateseam
