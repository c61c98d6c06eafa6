#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "peers/peer_address.h"
#include "peers/peer_network_settings.h"
#include "protocol/heartbeat.h"
#include "protocol/message.h"

namespace sapphirecrank::peers {

/// Links to the other entry hosts: websockets that carry CBOR, with heartbeats.
///
/// Each host opens one link to each other one and sends on it; it receives on the links that others
/// opened. Thread safety: all methods may be called from any thread. Hooks run on the network
/// thread and must not wait.
class PeerNetwork {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// A message has arrived, in order and once for each live sender.
    std::function<void(const base::HostId&, protocol::Message)> on_message;
    /// A host answers again, after start, loss or restart, as this process.
    std::function<void(const base::HostId&, base::Incarnation)> on_peer_up;
    /// A host has answered no heartbeat of the host timeout, or was restarted; told of both if one
    /// comes after the other, as messages of the earlier process may have arrived in between.
    std::function<void(const base::HostId&)> on_peer_lost;
    /// A live host has counted this one as lost for a while: what either has asked of the other
    /// before is void.
    std::function<void(const base::HostId&)> on_session_reset;
    /// A host has answered a heartbeat that was sent at this time. It then hasn't counted this one
    /// as lost since the last `on_session_reset`.
    std::function<void(const base::HostId&, base::TimePoint)> on_heartbeat_acknowledged;
    /// Returns the next heartbeat; its number is filled in here.
    std::function<protocol::Heartbeat()> make_heartbeat;
    /// A connection was refused or failed; for the log.
    std::function<void(const base::HostId&, const std::string&)> on_connection_error;
  };

  /// Nothing is opened before `Start`.
  PeerNetwork(PeerNetworkSettings settings, Hooks hooks);

  /// Stops as `Stop` does.
  ~PeerNetwork();

  /// Stops the thread; no hook runs after that. To be called by one thread, not by a hook.
  void Stop();

  /// Listens and starts to connect. Returns `kUnavailable` if the address can't be listened on.
  /// Precondition: called once.
  base::Result<void> Start();

  /// Links with a further host. Does nothing if it is known already. Precondition: started.
  void AddPeer(const PeerAddress& address);

  /// Returns the data centre that a host has named, or an empty id if it has not yet.
  base::DataCentreId PeerDataCentre(const base::HostId& host) const;

  /// Returns the hosts that answer.
  std::vector<base::HostId> ReachablePeers() const;

  /// Sends a message that arrives exactly once unless the other process ends or counts as lost.
  /// False means that it was surely not sent.
  bool SendReliably(const base::HostId& host, protocol::Message message);

  /// Sends a message that may be lost.
  void SendBestEffort(const base::HostId& host, protocol::Message message);

  /// Waits until all hosts that answer have acknowledged what was sent to them, or until `limit`
  /// has passed. To be called before the destructor in a graceful shutdown.
  void WaitUntilDelivered(base::Duration limit);

  /// Tells whether a host answers.
  bool IsPeerReachable(const base::HostId& host) const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::peers
