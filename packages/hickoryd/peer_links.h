#ifndef HICKORYWOOD_HICKORYD_PEER_LINKS_H_
#define HICKORYWOOD_HICKORYD_PEER_LINKS_H_

// Calls to the other instances of the system.

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "routing/stale_connections.h"
#include "settings/instance_settings.h"
#include "transport/http_client.h"

namespace hickorywood::hickoryd {

class peer_links {
 public:
  using completion = std::function<void(transport::http_response)>;

  peer_links(const core::runtime_clock& clock,
             const settings::instance_settings& settings,
             transport::http_client& client);

  // All other instances; and all control instances, including this one if it
  // has the control role.
  const std::vector<std::string>& Others() const { return others_; }
  const std::vector<std::string>& ControlInstances() const { return control_; }

  // The number of instances of each site, including this one.
  std::map<std::string, size_t> SiteSizes() const;

  // Sets the address that the peer listener of this instance is bound to, for
  // calls to itself.
  void SetOwnAddress(const std::string& address);

  // Sends `body` to `path` of `peer`. `done` is called once, on the client
  // thread.
  void Call(const std::string& peer, const std::string& path, std::string body,
            core::milliseconds timeout, completion done);

  // Calls a JSON-RPC method; an empty payload means that the call failed.
  void CallRpc(const std::string& peer, const std::string& method,
               const std::string& payload, core::milliseconds timeout,
               std::function<void(std::optional<std::string>)> done);

 private:
  std::optional<std::string> AddressOf(const std::string& peer) const;
  bool NeedsNewConnection(const std::string& peer) const;
  void RecordTimeout(const std::string& peer);

  const core::runtime_clock& clock_;
  const settings::instance_settings& settings_;
  transport::http_client& client_;
  std::vector<std::string> others_;
  std::vector<std::string> control_;
  mutable std::mutex mutex_;
  std::map<std::string, std::string> addresses_;  // guarded by mutex_
  routing::stale_connections stale_connections_;  // guarded by mutex_
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_PEER_LINKS_H_
