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

/// Links to the other hosts: WebSocket connections that carry CBOR messages, with heartbeats that
/// detect lost hosts.
///
/// Each host opens one link to each other host and sends on it; it receives on the links that the
/// other hosts opened. Thread safety: all methods may be called from any thread, except as noted at
/// `Stop`. Hooks run on the network thread, except `now`, and must not block.
class PeerNetwork {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    /// Returns the current time. Must be callable from any thread.
    base::Clock now;
    /// A message has arrived. The reliable messages of one sender process arrive exactly once and
    /// in order.
    std::function<void(const base::HostId&, protocol::Message)> on_message;
    /// A host has become reachable after a start, loss, restart or session reset; the incarnation
    /// identifies its process.
    std::function<void(const base::HostId&, base::Incarnation)> on_peer_up;
    /// A host has acknowledged no heartbeat that was sent within the host timeout, or was
    /// restarted. Called once for each if a restart follows a loss, because messages of the earlier
    /// process may have arrived in between.
    std::function<void(const base::HostId&)> on_peer_lost;
    /// Another host had counted this one as lost and has begun a new session. Requests that the two
    /// hosts sent to each other before are void: the other host has dropped what this one sent
    /// since then. While this hook runs, the other host counts as unreachable; if it was reachable
    /// before, `on_peer_up` follows.
    std::function<void(const base::HostId&)> on_session_reset;
    /// A host has acknowledged a heartbeat or hello that was sent at the given time. Up to that
    /// acknowledgement it had not counted this host as lost since the last `on_session_reset`.
    std::function<void(const base::HostId&, base::TimePoint)> on_heartbeat_acknowledged;
    /// Returns the next heartbeat; the network sets its sequence number.
    std::function<protocol::Heartbeat()> make_heartbeat;
    /// A connection to or from this host, which is empty if unknown, was refused or has failed; the
    /// reason is for the log.
    std::function<void(const base::HostId&, const std::string&)> on_connection_error;
  };

  /// Opens no connection; `Start` does.
  PeerNetwork(PeerNetworkSettings settings, Hooks hooks);

  /// Calls `Stop`.
  ~PeerNetwork();

  /// Stops the network thread; no hook runs after this method has returned. Must be called by one
  /// thread only and not by a hook.
  void Stop();

  /// Listens for connections and starts to connect to the peers. Error: `kUnavailable` if it can't
  /// listen on the address. Precondition: called once.
  base::Result<void> Start();

  /// Adds a peer and connects to it. Does nothing if the host is known already. Precondition:
  /// started.
  void AddPeer(const PeerAddress& address);

  /// Returns the data centre of a known host, or an empty id for an unknown one.
  base::DataCentreId PeerDataCentre(const base::HostId& host) const;

  /// Returns the hosts that count as reachable: those that have responded and haven't been lost
  /// since.
  std::vector<base::HostId> ReachablePeers() const;

  /// Sends a message that arrives exactly once unless the other process ends, or either host counts
  /// the other one as lost. A message that was sent before `on_peer_lost` or `on_session_reset` has
  /// returned isn't handled by the other host after that host has learned of the new session.
  /// Returns false if the message was not sent because the host is unknown or unreachable.
  bool SendReliably(const base::HostId& host, protocol::Message message);

  /// Sends a message that may be lost. Does nothing for an unknown host.
  void SendBestEffort(const base::HostId& host, protocol::Message message);

  /// Blocks until all reachable hosts have acknowledged the reliable messages sent to them, or
  /// until `timeout` has passed. To be called before `Stop` in a graceful shutdown, not by a hook.
  /// Precondition: started.
  void WaitUntilDelivered(base::Duration timeout);

  /// Tells whether a host counts as reachable, as `ReachablePeers` does.
  bool IsPeerReachable(const base::HostId& host) const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::peers
