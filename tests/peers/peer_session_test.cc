#include "peers/peer_session.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::Incarnation;
using base::SequenceNumber;
using peers::PeerSession;
using protocol::Envelope;

namespace {

protocol::Message Numbered(int number) {
  return protocol::CancelTasks{base::SubmissionId(std::to_string(number))};
}

int NumberOf(const Envelope& envelope) {
  return std::stoi(std::get<protocol::CancelTasks>(envelope.message).submission.value());
}

}  // namespace

TEST_GROUP(PeerSession){};

// Guards against lost, doubled or reordered messages when links break at any point: results would
// be lost or tasks assigned twice.
TEST(PeerSession, BrokenLinksLoseAndDoubleNothing) {
  const bool holds = rc::check([] {
    PeerSession sender;
    PeerSession receiver;
    std::deque<Envelope> link;
    std::vector<int> received;
    int sent = 0;
    const auto open = [&] {
      receiver.OnPeerIncarnation(Incarnation(1));
      const auto again = sender.OnLinkOpened(Incarnation(2));
      link.assign(again.begin(), again.end());
    };
    const auto deliver = [&] {
      const Envelope envelope = link.front();
      link.pop_front();
      if (receiver.ReceiveEnvelope(envelope) != PeerSession::ReceiveResult::kDuplicateOrStale) {
        received.push_back(NumberOf(envelope));
      }
    };
    open();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      if (step == 0) {
        link.push_back(sender.MakeReliableEnvelope(Numbered(sent++)));
      } else if (step == 1 && !link.empty()) {
        deliver();
      } else if (step == 2) {
        open();  // What was under way on the old link is lost.
      } else if (step == 3) {
        sender.ReceiveEnvelope(receiver.MakeBestEffortEnvelope(protocol::HeartbeatAck{}));
      }
    }
    open();
    while (!link.empty()) {
      deliver();
    }
    RC_ASSERT(received.size() == static_cast<size_t>(sent));
    for (int i = 0; i < sent; ++i) {
      RC_ASSERT(received[i] == i);
    }
  });
  CHECK_TRUE(holds);
}

// Guards against messages for an ended process that reach the one started after it.
TEST(PeerSession, RestartedPeerGetsNothingMeantForTheOldProcess) {
  PeerSession sender;
  sender.OnLinkOpened(Incarnation(2));
  sender.MakeReliableEnvelope(Numbered(1));
  CHECK_TRUE(sender.OnLinkOpened(Incarnation(3)).empty());
  LONGS_EQUAL(1, sender.MakeReliableEnvelope(Numbered(2)).sequence_number.value());
}

// Guards against messages of a host that has given the receiver up since: the jobs in them were
// submitted again elsewhere.
TEST(PeerSession, MessagesOfAnEndedSessionAreDropped) {
  PeerSession sender;
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  sender.OnLinkOpened(Incarnation(2));
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(Numbered(1))) ==
        PeerSession::ReceiveResult::kAccepted);
  const Envelope stale = sender.MakeReliableEnvelope(Numbered(2));
  sender.BeginNewSession();
  const Envelope fresh = sender.MakeBestEffortEnvelope(protocol::HeartbeatAck{});
  CHECK(receiver.ReceiveEnvelope(fresh) == PeerSession::ReceiveResult::kAcceptedInNewSession);
  CHECK(receiver.ReceiveEnvelope(stale) == PeerSession::ReceiveResult::kDuplicateOrStale);
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(Numbered(3))) ==
        PeerSession::ReceiveResult::kAccepted);
}

// Guards against a restarted process, which counts its sessions anew, whose messages are dropped.
TEST(PeerSession, SessionsOfARestartedPeerBeginAnew) {
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  PeerSession first;
  first.BeginNewSession();
  first.BeginNewSession();
  receiver.ReceiveEnvelope(first.MakeReliableEnvelope(Numbered(1)));
  receiver.OnPeerIncarnation(Incarnation(2));
  PeerSession second;
  CHECK(receiver.ReceiveEnvelope(second.MakeReliableEnvelope(Numbered(2))) ==
        PeerSession::ReceiveResult::kAccepted);
}
