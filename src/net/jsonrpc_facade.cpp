#include <net/jsonrpc_facade.hpp>

#include <mutex>
#include <stdexcept>
#include <utility>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace agateseam
{

namespace
{

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool from_text(const std::string& text, Json::Value& value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

class server_impl final : public jsonrpc_server,
                          public jsonrpc::IProcedureInvokationHandler
{
  public:
    explicit server_impl(std::map<std::string, method> served)
        : methods(std::move(served))
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const auto& each : this->methods)
        {
            this->protocol->AddProcedure(jsonrpc::Procedure(
                each.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        }
    }

    std::string handle(const std::string& request) override
    {
        const std::lock_guard<std::mutex> hold(this->mutex);
        std::string answer;
        this->protocol->HandleRequest(request, answer);
        return answer;
    }

    void HandleMethodCall(jsonrpc::Procedure& called, const Json::Value& input,
                          Json::Value& output) override
    {
        const auto found = this->methods.find(called.GetProcedureName());
        try
        {
            if (found == this->methods.end() ||
                !from_text(found->second(to_text(input)), output))
            {
                throw std::runtime_error("the method gave no result");
            }
        }
        catch (const std::exception& fault)
        {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                            fault.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

  private:
    std::mutex mutex;
    std::map<std::string, method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

class client_impl final : public jsonrpc_client, public jsonrpc::IClientConnector
{
  public:
    explicit client_impl(carrier chosen)
        : carry(std::move(chosen))
        , client(*this)
    {
    }

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        if (!this->carry(message, result))
        {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "no answer");
        }
    }

    bool call(const std::string& name, const std::string& parameters,
              std::string& result) override
    {
        try
        {
            Json::Value input;
            if (!from_text(parameters, input))
            {
                return false;
            }
            result = to_text(this->client.CallMethod(name, input));
            return true;
        }
        catch (const std::exception&)
        {
            return false;
        }
    }

  private:
    carrier carry;
    jsonrpc::Client client;
};

} // namespace

std::unique_ptr<jsonrpc_server>
jsonrpc_server::create(std::map<std::string, method> methods)
{
    return std::unique_ptr<jsonrpc_server>(new server_impl(std::move(methods)));
}

std::unique_ptr<jsonrpc_client> jsonrpc_client::create(carrier carry)
{
    return std::unique_ptr<jsonrpc_client>(new client_impl(std::move(carry)));
}

} // namespace agateseam
