/// JSON-RPC 2.0 with libjsonrpccpp, behind an interface of standard types.
///
/// The library's headers need C++14, so the source is compiled as C++14 and this header
/// is valid C++14. Parameters and results are passed as JSON text.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agateseam
{

/// \brief Serves methods by name. May be used from any thread.
class jsonrpc_server
{
  public:
    /// Takes the parameters as the JSON text of an object and returns the JSON text of
    /// the result. An exception becomes an error answer.
    using method = std::function<std::string(const std::string& parameters)>;

    /// \brief Creates a server of these methods.
    static std::unique_ptr<jsonrpc_server> create(std::map<std::string, method> methods);

    virtual ~jsonrpc_server() = default;

    /// \brief Handles one request.
    /// \param request the JSON text of the request.
    /// \returns the JSON text of the answer, also when the request is malformed.
    virtual std::string handle(const std::string& request) = 0;
};

/// \brief Calls the methods of one peer, one call at a time.
class jsonrpc_client
{
  public:
    /// Sends the text of a request to the peer and receives the text of the answer.
    /// Returns false without an answer.
    using transport =
        std::function<bool(const std::string& request, std::string& answer)>;

    /// \brief Creates a client that sends its requests with `send`.
    static std::unique_ptr<jsonrpc_client> create(transport send);

    virtual ~jsonrpc_client() = default;

    /// \brief Calls a method and waits for the answer.
    /// \param parameters the JSON text of an object.
    /// \param result receives the JSON text of the result.
    /// \returns false when no answer came or the answer is an error.
    virtual bool call(const std::string& name, const std::string& parameters,
                      std::string& result) = 0;
};

} // namespace agateseam
