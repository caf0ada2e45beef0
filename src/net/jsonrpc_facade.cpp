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

std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool parse_json(const std::string& text, Json::Value& value)
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
        for (const auto& served_method : this->methods)
        {
            this->protocol->AddProcedure(
                jsonrpc::Procedure(served_method.first, jsonrpc::PARAMS_BY_NAME,
                                   jsonrpc::JSON_OBJECT, nullptr));
        }
    }

    std::string handle(const std::string& request) override
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
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
                !parse_json(found->second(write_json(input)), output))
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
    explicit client_impl(transport send_function)
        : send(std::move(send_function))
        , client(*this)
    {
    }

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        if (!this->send(message, result))
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
            if (!parse_json(parameters, input))
            {
                return false;
            }
            result = write_json(this->client.CallMethod(name, input));
            return true;
        }
        catch (const std::exception&)
        {
            return false;
        }
    }

  private:
    transport send;
    jsonrpc::Client client;
};

} // namespace

std::unique_ptr<jsonrpc_server>
jsonrpc_server::create(std::map<std::string, method> methods)
{
    return std::unique_ptr<jsonrpc_server>(new server_impl(std::move(methods)));
}

std::unique_ptr<jsonrpc_client> jsonrpc_client::create(transport send)
{
    return std::unique_ptr<jsonrpc_client>(new client_impl(std::move(send)));
}

} // namespace agateseam
