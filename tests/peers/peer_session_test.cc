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

protocol::Message NumberedMessage(int number) {
  return protocol::CancelTasks{base::SubmissionId(std::to_string(number))};
}

int NumberOf(const Envelope& envelope) {
  return std::stoi(std::get<protocol::CancelTasks>(envelope.message).submission.value());
}

}  // namespace

TEST_GROUP(PeerSession){};

// Guards against messages that are lost, duplicated or reordered when links break at any point:
// results would be lost or tasks assigned twice.
TEST(PeerSession, BrokenLinksNeitherLoseNorDuplicateMessages) {
  const bool property_holds = rc::check([] {
    PeerSession sender;
    PeerSession receiver;
    std::deque<Envelope> link;
    std::vector<int> received;
    int sent = 0;
    const auto open_link = [&] {
      receiver.OnPeerIncarnation(Incarnation(1));
      const auto resent = sender.OnLinkOpened(Incarnation(2));
      link.assign(resent.begin(), resent.end());
    };
    const auto deliver_next = [&] {
      const Envelope envelope = link.front();
      link.pop_front();
      if (receiver.ReceiveEnvelope(envelope) != PeerSession::ReceiveResult::kDuplicateOrStale) {
        received.push_back(NumberOf(envelope));
      }
    };
    open_link();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      if (step == 0) {
        link.push_back(sender.MakeReliableEnvelope(NumberedMessage(sent++)));
      } else if (step == 1 && !link.empty()) {
        deliver_next();
      } else if (step == 2) {
        open_link();  // Messages in transit on the old link are lost.
      } else if (step == 3) {
        sender.ReceiveEnvelope(receiver.MakeBestEffortEnvelope(protocol::HeartbeatAck{}));
      }
    }
    open_link();
    while (!link.empty()) {
      deliver_next();
    }
    RC_ASSERT(received.size() == static_cast<size_t>(sent));
    for (int i = 0; i < sent; ++i) {
      RC_ASSERT(received[i] == i);
    }
  });
  CHECK_TRUE(property_holds);
}

// Guards against messages for an ended process that reach the process started after it.
TEST(PeerSession, RestartedPeerReceivesNoMessageForItsPreviousProcess) {
  PeerSession sender;
  sender.OnLinkOpened(Incarnation(2));
  sender.MakeReliableEnvelope(NumberedMessage(1));
  CHECK_TRUE(sender.OnLinkOpened(Incarnation(3)).empty());
  LONGS_EQUAL(1, sender.MakeReliableEnvelope(NumberedMessage(2)).sequence_number.value());
}

// Guards against handling messages of a host that has counted the receiver as lost since it sent
// them: the jobs in them were submitted again elsewhere.
TEST(PeerSession, DropsMessagesOfAnEndedSession) {
  PeerSession sender;
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  sender.OnLinkOpened(Incarnation(2));
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(NumberedMessage(1))) ==
        PeerSession::ReceiveResult::kAccepted);
  const Envelope stale = sender.MakeReliableEnvelope(NumberedMessage(2));
  sender.BeginNewSession();
  const Envelope current = sender.MakeBestEffortEnvelope(protocol::HeartbeatAck{});
  CHECK(receiver.ReceiveEnvelope(current) == PeerSession::ReceiveResult::kAcceptedInNewSession);
  CHECK(receiver.ReceiveEnvelope(stale) == PeerSession::ReceiveResult::kDuplicateOrStale);
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(NumberedMessage(3))) ==
        PeerSession::ReceiveResult::kAccepted);
}

// Guards against work that is started although its sender takes it for cancelled: after a
// standstill, a host counted its peer as lost and then handled what the peer had sent meanwhile
// (review/11, TWICE).
TEST(PeerSession, DropsMessagesSentWithoutKnowledgeOfTheReceiversNewSession) {
  PeerSession sender;
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  sender.OnPeerIncarnation(Incarnation(2));
  sender.OnLinkOpened(Incarnation(2));
  sender.ReceiveEnvelope(receiver.MakeBestEffortEnvelope(protocol::HeartbeatAck{}));
  const Envelope in_transit = sender.MakeReliableEnvelope(NumberedMessage(1));
  receiver.BeginNewSession();
  CHECK(receiver.ReceiveEnvelope(in_transit) == PeerSession::ReceiveResult::kDuplicateOrStale);
  // A heartbeat has to be answered, so that the sender learns of the new session.
  CHECK(receiver.ReceiveEnvelope(sender.MakeBestEffortEnvelope(protocol::Heartbeat{})) ==
        PeerSession::ReceiveResult::kAccepted);
  const base::SessionEpoch epoch = sender.epoch();
  CHECK(sender.ReceiveEnvelope(receiver.MakeBestEffortEnvelope(protocol::HeartbeatAck{})) ==
        PeerSession::ReceiveResult::kAcceptedInNewSession);
  CHECK(epoch < sender.epoch());
  CHECK_TRUE(sender.OnLinkOpened(Incarnation(2)).empty());
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(NumberedMessage(2))) ==
        PeerSession::ReceiveResult::kAccepted);
}

// Guards against a session whose end is noticed by only one side because both ended one at the
// same time.
TEST(PeerSession, ReportsANewSessionWithADroppedMessage) {
  PeerSession sender;
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  receiver.ReceiveEnvelope(sender.MakeBestEffortEnvelope(protocol::Heartbeat{}));
  sender.ReceiveEnvelope(receiver.MakeBestEffortEnvelope(protocol::HeartbeatAck{}));
  receiver.BeginNewSession();
  sender.BeginNewSession();
  CHECK(receiver.ReceiveEnvelope(sender.MakeReliableEnvelope(NumberedMessage(1))) ==
        PeerSession::ReceiveResult::kStaleInNewSession);
}

// Guards against dropped messages of a restarted process: its session numbers start from 1 again,
// below those of its previous process.
TEST(PeerSession, AcceptsLowerSessionNumberOfARestartedPeer) {
  PeerSession receiver;
  receiver.OnPeerIncarnation(Incarnation(1));
  PeerSession old_process;
  old_process.BeginNewSession();
  old_process.BeginNewSession();
  receiver.ReceiveEnvelope(old_process.MakeReliableEnvelope(NumberedMessage(1)));
  receiver.OnPeerIncarnation(Incarnation(2));
  PeerSession new_process;
  CHECK(receiver.ReceiveEnvelope(new_process.MakeReliableEnvelope(NumberedMessage(2))) ==
        PeerSession::ReceiveResult::kAccepted);
}
