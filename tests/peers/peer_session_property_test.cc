#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <string>
#include <vector>

#include "peers/peer_session.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::Incarnation;
using peers::PeerSession;
using protocol::Envelope;
using ReceiveResult = PeerSession::ReceiveResult;

namespace {

/// What the two hosts believe of one reliable message.
struct SentMessage {
  bool is_void_for_sender = false;
  bool is_handled = false;
  bool is_void_for_receiver = false;
};

/// Two hosts, each with a link to the other one. Messages on different links overtake each other.
class SessionPair {
 public:
  SessionPair() {
    for (size_t host = 0; host < 2; ++host) {
      this->sessions[host].OnPeerIncarnation(Incarnation(1));
      this->OpenLink(host);
    }
    this->Exchange();
  }

  void Send(size_t host) {
    const auto number = std::to_string(this->messages[host].size());
    this->messages[host].emplace_back();
    this->links[host].push_back(this->sessions[host].MakeReliableEnvelope(
        protocol::CancelTasks{base::SubmissionId(number)}));
  }

  /// Sends a heartbeat on the host's own link, or a response on that of the other host.
  void SendUnnumbered(size_t host, bool is_response) {
    auto& queue = is_response ? this->responses[host] : this->links[host];
    queue.push_back(this->sessions[host].MakeBestEffortEnvelope(protocol::Heartbeat{}));
  }

  void DeliverFromLink(size_t host) { this->Deliver(host, this->links[host]); }
  void DeliverResponse(size_t host) { this->Deliver(host, this->responses[host]); }

  /// The host counts the other one as lost.
  void Lose(size_t host) {
    this->sessions[host].BeginNewSession();
    this->VoidAll(host);
  }

  /// Replaces the link on which the host sends; what is in transit is lost.
  void OpenLink(size_t host) {
    const auto resent = this->sessions[host].OnLinkOpened(Incarnation(1));
    this->links[host].assign(resent.begin(), resent.end());
  }

  /// Delivers everything, and lets both hosts learn the last session of the other one.
  void Exchange() {
    constexpr int kRounds = 3;
    for (int round = 0; round < kRounds; ++round) {
      for (size_t host = 0; host < 2; ++host) {
        this->SendUnnumbered(host, false);
        while (!this->links[host].empty()) {
          this->DeliverFromLink(host);
        }
        while (!this->responses[host].empty()) {
          this->DeliverResponse(host);
        }
      }
    }
  }

  std::array<std::vector<SentMessage>, 2> messages;

 private:
  void Deliver(size_t from, std::deque<Envelope>& queue) {
    if (queue.empty()) {
      return;
    }
    const Envelope envelope = queue.front();
    queue.pop_front();
    const size_t to = 1 - from;
    const ReceiveResult result = this->sessions[to].ReceiveEnvelope(envelope);
    if (result == ReceiveResult::kAcceptedInNewSession ||
        result == ReceiveResult::kStaleInNewSession) {
      this->VoidAll(to);
    }
    const auto* message = std::get_if<protocol::CancelTasks>(&envelope.message);
    if (message != nullptr &&
        (result == ReceiveResult::kAccepted || result == ReceiveResult::kAcceptedInNewSession)) {
      this->messages[from][std::stoul(message->submission.value())].is_handled = true;
    }
  }

  /// Withdraws what the host has sent so far, and cancels what it has handled.
  void VoidAll(size_t host) {
    for (SentMessage& message : this->messages[host]) {
      message.is_void_for_sender = true;
    }
    for (SentMessage& message : this->messages[1 - host]) {
      message.is_void_for_receiver = message.is_void_for_receiver || message.is_handled;
    }
  }

  std::array<PeerSession, 2> sessions;
  std::array<std::deque<Envelope>, 2> links;
  std::array<std::deque<Envelope>, 2> responses;
};

}  // namespace

TEST_GROUP(PeerSessionProperty){};

// Guards against two hosts that disagree on whether a message counts, whatever the order in which
// they count each other as lost: a batch that runs although its sender has placed its tasks again,
// or one that is awaited although the receiver has dropped it.
TEST(PeerSessionProperty, BothHostsAgreeWhichMessagesAreVoid) {
  const bool property_holds = rc::check([] {
    constexpr int kStepKinds = 7;
    SessionPair pair;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2 * kStepKinds));
    for (const int step : steps) {
      const size_t host = step % 2;
      switch (step / 2) {
        case 0:
          pair.Send(host);
          break;
        case 1:
          pair.SendUnnumbered(host, false);
          break;
        case 2:
          pair.SendUnnumbered(host, true);
          break;
        case 3:
          pair.DeliverFromLink(host);
          break;
        case 4:
          pair.DeliverResponse(host);
          break;
        case 5:
          pair.Lose(host);
          break;
        default:
          pair.OpenLink(host);
      }
    }
    pair.OpenLink(0);
    pair.OpenLink(1);
    pair.Exchange();
    for (const auto& sent : pair.messages) {
      for (const SentMessage& message : sent) {
        const bool counts_for_receiver = message.is_handled && !message.is_void_for_receiver;
        RC_ASSERT(message.is_void_for_sender != counts_for_receiver);
      }
    }
  });
  CHECK_TRUE(property_holds);
}
