#include "peers/peer_network.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <exception>
#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "base/mutex.h"
#include "base/mutex_lock.h"
#include "base/thread_name.h"
#include "peers/peer_session.h"
#include "protocol/message_codec.h"

namespace sapphirecrank::peers {

using base::Duration;
using base::HostId;
using base::SequenceNumber;
using base::TimePoint;
using protocol::Envelope;
using protocol::Message;
using websocketpp::connection_hdl;

namespace {

using WebSocketClient = websocketpp::client<websocketpp::config::asio_client>;
using WebSocketServer = websocketpp::server<websocketpp::config::asio>;

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// A process that has missed this many ticks was stalled; other hosts may count it as lost.
constexpr int kStallTickCount = 4;
// An accepted connection without a valid hello after this long is closed.
constexpr Duration kHelloTimeout = std::chrono::seconds(2);
constexpr size_t kMaximumUnauthenticatedConnections = 64;
// When a host's hello arrives, this host's connection attempt to that host counts as failed if it
// is at least this old. The time is several round trips between data centres.
constexpr Duration kStaleConnectionAttemptAge = std::chrono::milliseconds(50);
constexpr auto kGoingAway = websocketpp::close::status::going_away;
constexpr auto kPolicyViolation = websocketpp::close::status::policy_violation;

bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^
                  static_cast<unsigned char>(b.empty() ? 0 : b[i % b.size()]);
  }
  return difference == 0;
}

}  // namespace

class PeerNetwork::Impl {
 public:
  Impl(PeerNetworkSettings settings, Hooks hooks);
  ~Impl() { this->Stop(); }

  void Stop();

  base::Result<void> Start();
  bool SendReliably(const HostId& host, Message message);
  void SendBestEffort(const HostId& host, Message message);
  bool IsPeerReachable(const HostId& host) const;
  void AddPeer(const PeerAddress& address);
  std::vector<HostId> ReachablePeers() const;
  base::DataCentreId PeerDataCentre(const HostId& host) const;
  void WaitUntilDelivered(Duration timeout);

 private:
  struct Peer {
    PeerAddress address;
    PeerSession session;
    WebSocketClient::connection_ptr link;
    bool is_link_open = false;
    std::atomic<bool> is_reachable{false};
    // Copy of `session.epoch()` that other threads may read. It changes only while `is_reachable`
    // is false, and the hook that reports the change has returned before that is true again.
    std::atomic<base::SessionEpoch> session_epoch{base::SessionEpoch(1)};
    base::Incarnation incarnation;
    SequenceNumber next_heartbeat_number{1};
    TimePoint link_started_at;
    TimePoint last_response_at;
    // Send time of the last acknowledged heartbeat.
    TimePoint last_acknowledged_heartbeat_at;
    // Sequence numbers and send times. Number 0 stands for the hello of the current link.
    std::deque<std::pair<SequenceNumber, TimePoint>> unacknowledged_heartbeats;
    TimePoint next_heartbeat_at;
  };

  struct AcceptedConnection {
    HostId host;
    TimePoint opened_at;
    base::Incarnation incarnation;
  };

  void Listen();
  void Connect(Peer& peer);
  void DropLink(Peer& peer);
  void OnLinkOpened(Peer& peer, const void* id);
  void OnLinkMessage(Peer& peer, const void* id, const std::string& bytes);
  void OnLinkEnded(Peer& peer, const void* id, const std::string& reason);
  void OnHelloAck(Peer& peer, const Envelope& envelope, const protocol::HelloAck& ack);
  void UpdateIncarnation(Peer& peer, base::Incarnation incarnation);
  void OnHeartbeatAck(Peer& peer, const Envelope& envelope, SequenceNumber sequence_number);
  void MarkReachable(Peer& peer, TimePoint heartbeat_sent_at);
  /// Returns whether the message of the envelope has to be handled.
  bool ReceiveEnvelope(Peer& peer, const Envelope& envelope);
  /// Reports that the peer has begun a new session. Messages to it fail until the hooks have
  /// withdrawn what belonged to the earlier one.
  void OnSessionReset(Peer& peer);
  void OnAcceptedMessage(const connection_hdl& connection, const std::string& bytes);
  void OnHello(const connection_hdl& connection, const Envelope& envelope,
               const protocol::Hello& hello);
  void RefuseConnection(const connection_hdl& connection, const HostId& host,
                        const std::string& reason);
  void Tick();
  void TickIfStalled();
  void TickPeer(Peer& peer, TimePoint now);
  void CloseUnauthenticatedConnections(TimePoint now);
  void MarkUnreachable(Peer& peer);
  void ScheduleTick();
  void WriteEnvelope(Peer& peer, const Envelope& envelope);
  void SendResponse(const connection_hdl& connection, Message message);
  void PostToNetworkThread(std::function<void()> function);
  Peer* FindPeer(const HostId& host);
  const Peer* FindPeer(const HostId& host) const;

  PeerNetworkSettings settings;
  Hooks hooks;
  websocketpp::lib::asio::io_service io_service;
  WebSocketClient client;
  WebSocketServer server;
  websocketpp::lib::asio::steady_timer tick_timer;
  TimePoint last_tick_at;
  // Peers are never removed, so references to them stay valid. Only the network thread uses their
  // members, except `is_reachable`, `session_epoch` and `address.data_centre`, which other threads
  // read too. After the start only the network thread adds peers, under the lock.
  mutable base::Mutex peers_mutex;
  std::map<HostId, Peer> peers;
  std::map<connection_hdl, AcceptedConnection, std::owner_less<connection_hdl>>
      accepted_connections;
  std::thread thread;
};

PeerNetwork::Impl::Impl(PeerNetworkSettings settings, Hooks hooks)
    : settings(std::move(settings)), hooks(std::move(hooks)), tick_timer(this->io_service) {
  for (const PeerAddress& address : this->settings.peers) {
    Peer& peer = this->peers[address.host];
    peer.address = address;
  }
}

void PeerNetwork::Impl::Stop() {
  if (this->thread.joinable()) {
    this->io_service.stop();
    this->thread.join();
  }
}

base::Result<void> PeerNetwork::Impl::Start() {
  this->client.clear_access_channels(websocketpp::log::alevel::all);
  this->client.clear_error_channels(websocketpp::log::elevel::all);
  this->server.clear_access_channels(websocketpp::log::alevel::all);
  this->server.clear_error_channels(websocketpp::log::elevel::all);
  this->client.init_asio(&this->io_service);
  this->server.init_asio(&this->io_service);
  this->client.set_max_message_size(protocol::kMaximumMessageSize.value());
  this->server.set_max_message_size(protocol::kMaximumMessageSize.value());
  this->server.set_reuse_addr(true);
  try {
    this->Listen();
  } catch (const std::exception& error) {
    return base::MakeErrorResult(
        base::ErrorCode::kUnavailable,
        "can't listen on " + this->settings.advertised_address.value() + ": " + error.what(),
        "peer_listen");
  }
  // websocketpp caches the machine's byte order at the first use, without a lock. This call fills
  // the cache, so that the threads of two networks in one process don't write it concurrently.
  (void)websocketpp::lib::net::_htonll(0);
  this->ScheduleTick();
  this->thread = std::thread([this] {
    base::SetThreadName("peers");
    this->io_service.run();
  });
  return {};
}

void PeerNetwork::Impl::Listen() {
  const std::string& address =
      (this->settings.bind_address.empty() ? this->settings.advertised_address
                                           : this->settings.bind_address)
          .value();
  const size_t colon = address.rfind(':');
  const auto ip = websocketpp::lib::asio::ip::address::from_string(address.substr(0, colon));
  const auto port = static_cast<uint16_t>(std::stoi(address.substr(colon + 1)));
  this->server.set_open_handler([this](const connection_hdl& connection) {
    this->accepted_connections[connection] = {HostId(), this->hooks.now(), base::Incarnation()};
  });
  this->server.set_close_handler(
      [this](const connection_hdl& connection) { this->accepted_connections.erase(connection); });
  this->server.set_message_handler(
      [this](const connection_hdl& connection, const WebSocketServer::message_ptr& message) {
        try {
          this->OnAcceptedMessage(connection, message->get_payload());
        } catch (const std::exception& error) {
          // An unexpected error in the handling of one message must not end the process.
          this->RefuseConnection(connection, HostId(), error.what());
        }
      });
  this->server.listen(websocketpp::lib::asio::ip::tcp::endpoint(ip, port));
  this->server.start_accept();
}

bool PeerNetwork::Impl::SendReliably(const HostId& host, Message message) {
  Peer* found = this->FindPeer(host);
  if (found == nullptr) {
    return false;
  }
  // Read before `is_reachable`: the epoch then is one of which the caller's hooks know.
  const base::SessionEpoch epoch = found->session_epoch;
  if (!found->is_reachable) {
    return false;
  }
  this->PostToNetworkThread([this, &peer = *found, epoch, message = std::move(message)]() mutable {
    if (epoch != peer.session.epoch()) {
      return;  // One of the hosts has counted the other as lost since the call.
    }
    if (!peer.session.HasSendCapacity()) {
      this->MarkUnreachable(peer);
      return;
    }
    this->WriteEnvelope(peer, peer.session.MakeReliableEnvelope(std::move(message)));
  });
  return true;
}

void PeerNetwork::Impl::SendBestEffort(const HostId& host, Message message) {
  Peer* found = this->FindPeer(host);
  if (found == nullptr) {
    return;
  }
  this->PostToNetworkThread([this, &peer = *found, message = std::move(message)]() mutable {
    this->WriteEnvelope(peer, peer.session.MakeBestEffortEnvelope(std::move(message)));
  });
}

bool PeerNetwork::Impl::IsPeerReachable(const HostId& host) const {
  const Peer* found = this->FindPeer(host);
  return found != nullptr && found->is_reachable;
}

PeerNetwork::Impl::Peer* PeerNetwork::Impl::FindPeer(const HostId& host) {
  base::MutexLock lock(this->peers_mutex);
  auto found = this->peers.find(host);
  return found == this->peers.end() ? nullptr : &found->second;
}

const PeerNetwork::Impl::Peer* PeerNetwork::Impl::FindPeer(const HostId& host) const {
  base::MutexLock lock(this->peers_mutex);
  auto found = this->peers.find(host);
  return found == this->peers.end() ? nullptr : &found->second;
}

void PeerNetwork::Impl::AddPeer(const PeerAddress& address) {
  this->PostToNetworkThread([this, address] {
    if (address.host == this->settings.host || this->FindPeer(address.host) != nullptr) {
      return;
    }
    Peer* peer = nullptr;
    {
      base::MutexLock lock(this->peers_mutex);
      peer = &this->peers[address.host];
    }
    peer->address = address;
    this->Connect(*peer);
  });
}

base::DataCentreId PeerNetwork::Impl::PeerDataCentre(const HostId& host) const {
  base::MutexLock lock(this->peers_mutex);
  auto found = this->peers.find(host);
  return found == this->peers.end() ? base::DataCentreId() : found->second.address.data_centre;
}

std::vector<HostId> PeerNetwork::Impl::ReachablePeers() const {
  std::vector<HostId> reachable;
  base::MutexLock lock(this->peers_mutex);
  for (const auto& [host, peer] : this->peers) {
    if (peer.is_reachable) {
      reachable.push_back(host);
    }
  }
  return reachable;
}

void PeerNetwork::Impl::WaitUntilDelivered(Duration timeout) {
  const TimePoint deadline = this->hooks.now() + timeout;
  bool is_delivered = false;
  while (!is_delivered && this->hooks.now() < deadline) {
    std::promise<bool> all_acknowledged;
    this->PostToNetworkThread([this, &all_acknowledged] {
      all_acknowledged.set_value(
          std::all_of(this->peers.begin(), this->peers.end(), [](const auto& entry) {
            return !entry.second.is_reachable || entry.second.session.IsAllAcknowledged();
          }));
    });
    is_delivered = all_acknowledged.get_future().get();
    if (!is_delivered) {
      std::this_thread::sleep_for(kTickInterval);
    }
  }
}

void PeerNetwork::Impl::Connect(Peer& peer) {
  websocketpp::lib::error_code error;
  WebSocketClient::connection_ptr link =
      this->client.get_connection("ws://" + peer.address.address.value() + "/", error);
  if (error) {
    this->hooks.on_connection_error(peer.address.host, error.message());
    return;
  }
  // The handlers capture the connection's address only; a reference to the connection would be a
  // cycle that keeps it alive for ever.
  const void* id = link.get();
  link->set_open_handler(
      [this, &peer, id](const connection_hdl&) { this->OnLinkOpened(peer, id); });
  link->set_message_handler(
      [this, &peer, id](const connection_hdl&, const WebSocketClient::message_ptr& message) {
        try {
          this->OnLinkMessage(peer, id, message->get_payload());
        } catch (const std::exception& handling_error) {
          this->hooks.on_connection_error(peer.address.host, handling_error.what());
          this->DropLink(peer);
        }
      });
  const auto on_ended = [this, &peer, id](const connection_hdl& connection) {
    websocketpp::lib::error_code lookup_error;
    const auto ended_link = this->client.get_con_from_hdl(connection, lookup_error);
    this->OnLinkEnded(peer, id,
                      ended_link ? ended_link->get_ec().message() : lookup_error.message());
  };
  link->set_fail_handler(on_ended);
  link->set_close_handler(on_ended);
  link->set_open_handshake_timeout(
      std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.link_timeout).count());
  peer.link = link;
  peer.link_started_at = this->hooks.now();
  this->client.connect(link);
}

void PeerNetwork::Impl::DropLink(Peer& peer) {
  if (peer.link == nullptr) {
    return;
  }
  const WebSocketClient::connection_ptr link = std::exchange(peer.link, nullptr);
  peer.is_link_open = false;
  websocketpp::lib::error_code ignored;
  if (link->get_state() == websocketpp::session::state::connecting) {
    // A WebSocket that isn't open yet can't be closed; it would keep its descriptor for 5 s.
    link->get_raw_socket().close(ignored);
    return;
  }
  link->close(kGoingAway, "no answer", ignored);
}

void PeerNetwork::Impl::OnLinkOpened(Peer& peer, const void* id) {
  if (peer.link.get() != id) {
    return;
  }
  const protocol::Hello hello{protocol::kProtocolVersion,        this->settings.host,
                              this->settings.data_centre,        this->settings.incarnation,
                              this->settings.advertised_address, this->settings.shared_secret};
  // The link counts as open only after the acknowledgement of the hello; `WriteEnvelope` writes the
  // hello only if the flag is set.
  peer.is_link_open = true;
  this->WriteEnvelope(peer,
                      {SequenceNumber(0), SequenceNumber(0), peer.session.session_number(), hello});
  peer.is_link_open = false;
  peer.unacknowledged_heartbeats = {{SequenceNumber(0), this->hooks.now()}};
}

void PeerNetwork::Impl::OnLinkMessage(Peer& peer, const void* id, const std::string& bytes) {
  this->TickIfStalled();
  if (peer.link.get() != id) {
    return;
  }
  const auto envelope = protocol::DecodeEnvelope(bytes);
  if (!envelope) {
    this->hooks.on_connection_error(peer.address.host, envelope.error().message);
    this->DropLink(peer);
    return;
  }
  if (const auto* hello_ack = std::get_if<protocol::HelloAck>(&envelope->message)) {
    this->OnHelloAck(peer, *envelope, *hello_ack);
  } else if (const auto* heartbeat_ack = std::get_if<protocol::HeartbeatAck>(&envelope->message)) {
    this->OnHeartbeatAck(peer, *envelope, heartbeat_ack->sequence_number);
  }
}

void PeerNetwork::Impl::OnHeartbeatAck(Peer& peer, const Envelope& envelope,
                                       SequenceNumber sequence_number) {
  if (!this->ReceiveEnvelope(peer, envelope)) {
    return;
  }
  while (!peer.unacknowledged_heartbeats.empty() &&
         peer.unacknowledged_heartbeats.front().first < sequence_number) {
    peer.unacknowledged_heartbeats.pop_front();
  }
  if (!peer.unacknowledged_heartbeats.empty() &&
      peer.unacknowledged_heartbeats.front().first == sequence_number) {
    this->MarkReachable(peer, peer.unacknowledged_heartbeats.front().second);
  }
}

bool PeerNetwork::Impl::ReceiveEnvelope(Peer& peer, const Envelope& envelope) {
  using ReceiveResult = PeerSession::ReceiveResult;
  const ReceiveResult result = peer.session.ReceiveEnvelope(envelope);
  if (result == ReceiveResult::kAcceptedInNewSession ||
      result == ReceiveResult::kStaleInNewSession) {
    this->OnSessionReset(peer);
  }
  return result == ReceiveResult::kAccepted || result == ReceiveResult::kAcceptedInNewSession;
}

void PeerNetwork::Impl::OnSessionReset(Peer& peer) {
  const bool was_reachable = peer.is_reachable.exchange(false);
  peer.session_epoch = peer.session.epoch();
  this->hooks.on_session_reset(peer.address.host);
  if (was_reachable) {
    peer.is_reachable = true;
    this->hooks.on_peer_up(peer.address.host, peer.incarnation);
  }
}

void PeerNetwork::Impl::OnLinkEnded(Peer& peer, const void* id, const std::string& reason) {
  if (peer.link.get() != id) {
    return;
  }
  this->hooks.on_connection_error(peer.address.host, "connection closed or failed: " + reason);
  peer.link = nullptr;
  peer.is_link_open = false;
}

void PeerNetwork::Impl::OnHelloAck(Peer& peer, const Envelope& envelope,
                                   const protocol::HelloAck& ack) {
  if (ack.host != peer.address.host) {
    this->hooks.on_connection_error(peer.address.host,
                                    "another host answered at this address: " + ack.host.value());
    this->DropLink(peer);
    return;
  }
  this->UpdateIncarnation(peer, ack.incarnation);
  if (!this->ReceiveEnvelope(peer, envelope)) {
    return;
  }
  peer.is_link_open = true;
  for (const Envelope& resent_envelope : peer.session.OnLinkOpened(ack.incarnation)) {
    this->WriteEnvelope(peer, resent_envelope);
  }
  this->MarkReachable(peer, peer.unacknowledged_heartbeats.empty()
                                ? peer.link_started_at
                                : peer.unacknowledged_heartbeats.front().second);
}

void PeerNetwork::Impl::UpdateIncarnation(Peer& peer, base::Incarnation incarnation) {
  if (incarnation == peer.incarnation) {
    return;
  }
  // Messages sent to the earlier process are lost and its requests are void, including requests
  // that arrived after that process was counted as lost.
  const bool was_lost = !peer.is_reachable && peer.incarnation != base::Incarnation();
  this->MarkUnreachable(peer);
  if (was_lost) {
    this->hooks.on_peer_lost(peer.address.host);
  }
  peer.incarnation = incarnation;
  peer.session.OnPeerIncarnation(incarnation);
}

void PeerNetwork::Impl::MarkReachable(Peer& peer, TimePoint heartbeat_sent_at) {
  peer.last_response_at = this->hooks.now();
  peer.last_acknowledged_heartbeat_at = heartbeat_sent_at;
  if (!peer.is_reachable.exchange(true)) {
    this->hooks.on_peer_up(peer.address.host, peer.incarnation);
  }
  this->hooks.on_heartbeat_acknowledged(peer.address.host, heartbeat_sent_at);
}

void PeerNetwork::Impl::OnAcceptedMessage(const connection_hdl& connection,
                                          const std::string& bytes) {
  this->TickIfStalled();
  auto found = this->accepted_connections.find(connection);
  if (found == this->accepted_connections.end()) {
    return;
  }
  auto envelope = protocol::DecodeEnvelope(bytes);
  if (!envelope) {
    this->RefuseConnection(connection, found->second.host, envelope.error().message);
    return;
  }
  if (const auto* hello = std::get_if<protocol::Hello>(&envelope->message)) {
    this->OnHello(connection, *envelope, *hello);
    return;
  }
  const HostId host = found->second.host;
  if (host.empty()) {
    this->RefuseConnection(connection, host, "first message is not hello");
    return;
  }
  Peer& peer = this->peers.at(host);
  if (!peer.session.IsCurrentIncarnation(found->second.incarnation) ||
      !this->ReceiveEnvelope(peer, *envelope)) {
    return;
  }
  if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&envelope->message)) {
    this->SendResponse(connection, protocol::HeartbeatAck{heartbeat->sequence_number});
  }
  this->hooks.on_message(host, std::move(envelope->message));
}

void PeerNetwork::Impl::OnHello(const connection_hdl& connection, const Envelope& envelope,
                                const protocol::Hello& hello) {
  auto peer = this->peers.find(hello.host);
  if (hello.protocol_version != protocol::kProtocolVersion) {
    this->RefuseConnection(connection, hello.host, "other protocol version");
    return;
  }
  if (!ConstantTimeEquals(this->settings.shared_secret, hello.shared_secret)) {
    this->RefuseConnection(connection, hello.host, "wrong shared secret");
    return;
  }
  if (this->settings.accepts_unknown_hosts) {
    base::MutexLock lock(this->peers_mutex);
    peer = this->peers.try_emplace(hello.host).first;
    peer->second.address.host = hello.host;
    peer->second.address.data_centre = hello.data_centre;
    peer->second.address.address = hello.advertised_address;
  }
  if (peer == this->peers.end() || hello.data_centre != peer->second.address.data_centre) {
    this->RefuseConnection(connection, hello.host, "host is not in the settings");
    return;
  }
  this->accepted_connections[connection].host = hello.host;
  this->accepted_connections[connection].incarnation = hello.incarnation;
  this->UpdateIncarnation(peer->second, hello.incarnation);
  // The acknowledgement tells the peer which of its sessions this host knows.
  (void)this->ReceiveEnvelope(peer->second, envelope);
  if (!peer->second.is_link_open &&
      this->hooks.now() - peer->second.link_started_at >= kStaleConnectionAttemptAge) {
    // The host is running now; a connection attempt from before its start could still wait for its
    // timeout.
    this->DropLink(peer->second);
    this->Connect(peer->second);
  }
  this->SendResponse(connection,
                     protocol::HelloAck{this->settings.host, this->settings.incarnation});
}

void PeerNetwork::Impl::RefuseConnection(const connection_hdl& connection, const HostId& host,
                                         const std::string& reason) {
  this->hooks.on_connection_error(host, "refused an incoming connection: " + reason);
  websocketpp::lib::error_code ignored;
  this->server.close(connection, kPolicyViolation, reason, ignored);
}

/// Runs a tick if this process was stalled. Hosts whose timeout has passed are then marked as lost
/// before their messages from the meantime are handled: they may have counted this host as lost.
void PeerNetwork::Impl::TickIfStalled() {
  if (this->hooks.now() - this->last_tick_at >= kStallTickCount * kTickInterval) {
    this->Tick();
  }
}

void PeerNetwork::Impl::Tick() {
  const TimePoint now = this->hooks.now();
  this->last_tick_at = now;
  for (auto& [host, peer] : this->peers) {
    this->TickPeer(peer, now);
  }
  this->CloseUnauthenticatedConnections(now);
}

void PeerNetwork::Impl::TickPeer(Peer& peer, TimePoint now) {
  if (peer.is_reachable &&
      now - peer.last_acknowledged_heartbeat_at >= this->settings.host_timeout) {
    this->MarkUnreachable(peer);
  }
  const TimePoint last_activity_at = peer.is_link_open
                                         ? std::max(peer.last_response_at, peer.link_started_at)
                                         : peer.link_started_at;
  const Duration timeout =
      peer.is_link_open ? this->settings.link_timeout : this->settings.connect_timeout;
  if (peer.link != nullptr && now - last_activity_at >= timeout) {
    this->DropLink(peer);
  }
  if (peer.link == nullptr) {
    if (now - peer.link_started_at >= this->settings.reconnect_interval) {
      this->Connect(peer);
    }
    return;
  }
  if (peer.is_link_open && now >= peer.next_heartbeat_at) {
    peer.next_heartbeat_at = now + this->settings.heartbeat_interval;
    protocol::Heartbeat heartbeat = this->hooks.make_heartbeat();
    heartbeat.sequence_number = peer.next_heartbeat_number;
    peer.unacknowledged_heartbeats.emplace_back(heartbeat.sequence_number, now);
    peer.next_heartbeat_number = peer.next_heartbeat_number.Next();
    this->WriteEnvelope(peer, peer.session.MakeBestEffortEnvelope(std::move(heartbeat)));
  }
}

void PeerNetwork::Impl::CloseUnauthenticatedConnections(TimePoint now) {
  size_t unauthenticated_count = 0;
  std::vector<connection_hdl> refused_connections;
  for (const auto& [connection, state] : this->accepted_connections) {
    if (!state.host.empty()) {
      continue;
    }
    ++unauthenticated_count;
    if (now - state.opened_at >= kHelloTimeout ||
        unauthenticated_count > kMaximumUnauthenticatedConnections) {
      refused_connections.push_back(connection);
    }
  }
  for (const connection_hdl& connection : refused_connections) {
    this->RefuseConnection(connection, HostId(), "no hello in time");
    this->accepted_connections.erase(connection);
  }
}

void PeerNetwork::Impl::MarkUnreachable(Peer& peer) {
  if (!peer.is_reachable.exchange(false)) {
    return;  // Nothing was sent to it in the present session.
  }
  peer.session.BeginNewSession();
  peer.session_epoch = peer.session.epoch();
  this->hooks.on_peer_lost(peer.address.host);
}

void PeerNetwork::Impl::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](const websocketpp::lib::asio::error_code& error) {
    if (!error) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void PeerNetwork::Impl::WriteEnvelope(Peer& peer, const Envelope& envelope) {
  if (peer.link == nullptr || !peer.is_link_open) {
    return;
  }
  // A failed write closes the link; reliable messages are sent again on the next one.
  peer.link->send(protocol::EncodeEnvelope(envelope), websocketpp::frame::opcode::binary);
}

void PeerNetwork::Impl::SendResponse(const connection_hdl& connection, Message message) {
  const HostId host = this->accepted_connections[connection].host;
  const Envelope envelope = this->peers.at(host).session.MakeBestEffortEnvelope(std::move(message));
  websocketpp::lib::error_code ignored;
  this->server.send(connection, protocol::EncodeEnvelope(envelope),
                    websocketpp::frame::opcode::binary, ignored);
}

void PeerNetwork::Impl::PostToNetworkThread(std::function<void()> function) {
  this->io_service.post(std::move(function));
}

PeerNetwork::PeerNetwork(PeerNetworkSettings settings, Hooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::Stop() { this->impl->Stop(); }

base::Result<void> PeerNetwork::Start() { return this->impl->Start(); }

bool PeerNetwork::SendReliably(const HostId& host, Message message) {
  return this->impl->SendReliably(host, std::move(message));
}

void PeerNetwork::SendBestEffort(const HostId& host, Message message) {
  this->impl->SendBestEffort(host, std::move(message));
}

void PeerNetwork::WaitUntilDelivered(Duration timeout) { this->impl->WaitUntilDelivered(timeout); }

bool PeerNetwork::IsPeerReachable(const HostId& host) const {
  return this->impl->IsPeerReachable(host);
}

void PeerNetwork::AddPeer(const PeerAddress& address) { this->impl->AddPeer(address); }

base::DataCentreId PeerNetwork::PeerDataCentre(const HostId& host) const {
  return this->impl->PeerDataCentre(host);
}

std::vector<base::HostId> PeerNetwork::ReachablePeers() const {
  return this->impl->ReachablePeers();
}

}  // namespace sapphirecrank::peers
