/// JSON-RPC 2.0 by libjsonrpccpp, behind standard types.
///
/// The library's headers need C++14, so this header keeps to it too, and the source is
/// compiled as C++14. Parameters and results pass as JSON text.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agateseam
{

/// \brief Serves methods by name; safe from any thread.
class jsonrpc_server
{
  public:
    /// Takes the parameters, an object, and returns the result, both as JSON text. An
    /// exception becomes an error answer.
    using method = std::function<std::string(const std::string& parameters)>;

    /// \brief Makes a server of methods.
    static std::unique_ptr<jsonrpc_server> create(std::map<std::string, method> methods);

    virtual ~jsonrpc_server() = default;

    /// \brief Serves one request.
    /// \param request the text of a JSON-RPC request.
    /// \returns the text of the answer, also when the request is malformed.
    virtual std::string handle(const std::string& request) = 0;
};

/// \brief Calls methods at one peer; one call at a time.
class jsonrpc_client
{
  public:
    /// Carries a request's text to the peer and takes the answer's; false without one.
    using carrier = std::function<bool(const std::string& request, std::string& answer)>;

    /// \brief Makes a client over a carrier.
    static std::unique_ptr<jsonrpc_client> create(carrier carry);

    virtual ~jsonrpc_client() = default;

    /// \brief Calls a method and waits.
    /// \param parameters JSON text of an object.
    /// \param result takes the result's JSON text.
    /// \returns false when no answer came, or an error.
    virtual bool call(const std::string& name, const std::string& parameters,
                      std::string& result) = 0;
};

} // namespace agateseam
