#include "transport/rpc.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <utility>

#include "core/json.h"
#include "core/reason.h"

namespace hickorywood::transport {
namespace {

constexpr char kPayloadName[] = "payload";
// Not one of the codes that JSON-RPC reserves: for those the library prepends
// its own text to the message.
constexpr int kFailedCall = 1;
class peer_connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* context) override {
    *static_cast<std::string*>(context) = response;
    return true;
  }
};

// Dispatches calls by method name.
class method_server : public jsonrpc::AbstractServer<method_server> {
 public:
  method_server(peer_connector& connector,
                const std::map<std::string, rpc_method>& methods)
      : AbstractServer(connector), methods_(methods) {
    for (const auto& item : methods_) {
      bindAndAddMethod(jsonrpc::Procedure(item.first, jsonrpc::PARAMS_BY_NAME,
                                          jsonrpc::JSON_OBJECT, kPayloadName,
                                          jsonrpc::JSON_STRING, nullptr),
                       &method_server::Unused);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const std::optional<std::string> answer = methods_.at(
        procedure.GetProcedureName())(input[kPayloadName].asString());
    if (!answer) {
      throw jsonrpc::JsonRpcException(kFailedCall, core::LastReason().text);
    }
    output[kPayloadName] = *answer;
  }

 private:
  // The library requires a member function per method, but HandleMethodCall
  // handles all calls.
  void Unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  const std::map<std::string, rpc_method> methods_;
};

}  // namespace

// The order of the members matters: the server refers to the connector.
struct rpc_dispatcher::impl {
  explicit impl(const std::map<std::string, rpc_method>& methods)
      : server(connector, methods) {}

  peer_connector connector;
  method_server server;
};

rpc_dispatcher::rpc_dispatcher(const std::map<std::string, rpc_method>& methods)
    : impl_(std::make_unique<impl>(methods)) {}

rpc_dispatcher::~rpc_dispatcher() = default;

std::string rpc_dispatcher::Handle(const std::string& request) {
  std::string answer;
  impl_->connector.OnRequest(request, &answer);
  return answer;
}

std::string EncodeRpcCall(const std::string& method,
                          const std::string& payload) {
  const nlohmann::json call = {{"jsonrpc", "2.0"},
                               {"id", 1},
                               {"method", method},
                               {"params", {{kPayloadName, payload}}}};
  return call.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::string> DecodeRpcAnswer(const std::string& answer) {
  try {
    const nlohmann::json tree = nlohmann::json::parse(answer);
    if (tree.contains("error")) {
      return core::Fail(core::reason_code::kUnavailable,
                        tree["error"].value("message", "call failed"));
    }
    return tree.at("result").at(kPayloadName).get<std::string>();
  } catch (const nlohmann::json::exception& error) {
    return core::Fail(core::reason_code::kInvalid, error.what());
  }
}

}  // namespace hickorywood::transport
