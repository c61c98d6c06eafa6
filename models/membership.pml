/*
 * Membership of the replicated group, as in src/consensus/raft_node.h and
 * src/cluster/membership_planner.h: three voters, a spare host that is a learner, and
 * a host that joins later. Both have empty disks at first and can take the place of
 * any other host.
 *
 * Entries of all logs form a tree: an entry names the one before it, so that the
 * last entry of a host stands for its whole log. Each entry holds the membership
 * that is in force from it on, committed or not. A leader makes one change at a time,
 * and only once its whole log, with an entry of its own term, is committed. It
 * replaces an unreachable voter by a learner that has a part of the log and was
 * reached in its term: the first entry has the new voters and keeps the old ones as
 * outgoing voters, and a quorum then needs a majority of both sets. Once that entry
 * is committed, the leader, also a later one, appends the second entry without the
 * outgoing voters. A voter whose disk is lost may be removed by a single entry, and a
 * learner is promoted by a single entry while there are fewer voters than desired.
 * Because of its lease, a leader begins no change after the next leader was elected.
 *
 * Learners get committed entries only; -DUNCOMMITTED_TO_LEARNERS sends them all.
 * -DLEARNERS_CAMPAIGN is another rule that avoids the fault: learners get all entries,
 * and a learner may campaign, although its own vote doesn't count.
 *
 * Any host may be frozen or cut off and return with its disk at any time, also the
 * leader and also between two changes: this is a run in which it takes no step and
 * no step with it is taken. So a leader may take any other voter for unreachable. A
 * host that is lost for good doesn't return, nor does its disk. A loss counts until
 * the latest leader has committed a membership with at least three voters, and none
 * of its voters and outgoing voters is lost. While a loss counts, a learner or the
 * successor of a lost voter may be lost as well: in the latest membership of any log,
 * each set of voters with that host has two others that aren't lost.
 *
 * Properties: a committed entry is never lost or replaced; each term has at most one
 * leader; the hosts that aren't lost could always elect a leader if all were running
 * and connected.
 *
 * Left out: time, so also that a replacement is complete within the catch-up time;
 * commands and snapshots; the check that keeps logs equal up to a common entry (the
 * tree assumes it); elections without a winner, and pre-votes; entries that a quorum
 * has and that the leader doesn't know to be committed yet; the removal of learners;
 * the commit of its removal on its way to a removed host; data centres and the choice
 * between several learners or voters (any may be chosen); groups of five voters. Terms,
 * entries and losses are bounded.
 *
 * -DLATE_REPLACEMENT ends a loss once a learner has caught up, before it has the vote
 * of the lost host. Two faults replace a voter by two single changes instead of a joint
 * one: -DREMOVE_FIRST removes the voter, then promotes the learner; -DPROMOTE_FIRST
 * promotes the learner, then removes the voter. -DUNCOMMITTED_CHANGES lets a leader
 * change the membership and finish a replacement although it has committed neither an
 * entry of its term nor its latest change.
 */
#define HOSTS 5
#define DESIRED_VOTERS 3
#define INITIAL_VOTERS 7
#define INITIAL_LEARNERS 8
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
/* The first membership and four more entries. */
#define ENTRIES 5
#endif
#ifndef LOSSES
#define LOSSES 2
#endif

#define CONTAINS(mask, host) (((mask) >> (host)) & 1)
#define WITH(mask, host) ((mask) | (1 << (host)))
#define WITHOUT(mask, host) ((mask) & (255 - (1 << (host))))
#define COUNT(mask)                                                                              \
  (CONTAINS(mask, 0) + CONTAINS(mask, 1) + CONTAINS(mask, 2) + CONTAINS(mask, 3) +               \
   CONTAINS(mask, 4))
#define IS_MAJORITY(mask, set) (COUNT((mask) & (set)) > COUNT(set) / 2)

/* Entry 0 is the empty log, entry 1 the committed membership of three voters. */
#define EMPTY_LOG 0
#define INITIAL_ENTRY 1
byte parent[ENTRIES + 1];
byte entry_term[ENTRIES + 1];
byte voters[ENTRIES + 1];
byte outgoing[ENTRIES + 1];
byte learners[ENTRIES + 1];
byte entry_count = INITIAL_ENTRY;

byte term[HOSTS];
byte last_entry[HOSTS];
/* Leaders: the latest entry that this leader has committed. */
byte commit[HOSTS];
byte leader_mask;
byte lost_mask;
byte loss_count;

/* State that only the properties and the rule for losses use. */
byte committed_entry = INITIAL_ENTRY;
byte latest_term = 1;
bool loss_counts;

/* Scratch variables, 0 between steps. */
byte i;
byte entry;
byte peer;
byte new_term;
byte quorum_mask;
bool is_equal_or_after;
bool can_elect;

#define VOTERS(host) voters[last_entry[host]]
#define OUTGOING(host) outgoing[last_entry[host]]
#define LEARNERS(host) learners[last_entry[host]]
#define ALL_VOTERS(entry) (voters[entry] | outgoing[entry])
#define IS_LOST(host) CONTAINS(lost_mask, host)
#define IS_LEADER(host) CONTAINS(leader_mask, host)
#define IS_MEMBER(host, other) CONTAINS(ALL_VOTERS(last_entry[host]) | LEARNERS(host), other)
/* The leader sends to a removed voter until the removal is committed. */
#define IS_PEER(host, other)                                                                     \
  (IS_MEMBER(host, other) || CONTAINS(ALL_VOTERS(commit[host]), other))
#define LAST_TERM(host) entry_term[last_entry[host]]
/* Entries of the same term were created by one leader one after the other. */
#define UP_TO_DATE(candidate, voter)                                                             \
  (LAST_TERM(candidate) > LAST_TERM(voter) ||                                                    \
   (LAST_TERM(candidate) == LAST_TERM(voter) && last_entry[candidate] >= last_entry[voter]))
#define GRANTS_VOTE(candidate, voter)                                                            \
  (CONTAINS(ALL_VOTERS(last_entry[candidate]), voter) && !IS_LOST(voter) &&                      \
   UP_TO_DATE(candidate, voter))
/* The hosts in the mask are a quorum of the host's latest membership. */
#define IS_QUORUM(host, mask)                                                                    \
  (IS_MAJORITY(mask, VOTERS(host)) && (OUTGOING(host) == 0 || IS_MAJORITY(mask, OUTGOING(host))))

#ifdef LEARNERS_CAMPAIGN
#define CANDIDATES(entry) (ALL_VOTERS(entry) | learners[entry])
#else
#define CANDIDATES(entry) ALL_VOTERS(entry)
#endif
/*
 * A voter in the host's latest membership campaigns, and also one whose removal is in
 * its log but isn't committed as far as it knows. Then its own vote doesn't count.
 */
#define MAY_CAMPAIGN(host)                                                                       \
  (!IS_LOST(host) &&                                                                             \
   (CONTAINS(CANDIDATES(last_entry[host]) | ALL_VOTERS(parent[last_entry[host]]), host) ||       \
    (last_entry[host] > committed_entry && CONTAINS(ALL_VOTERS(committed_entry), host))))

/* The last entry that the leader sends to the peer. */
#if defined(UNCOMMITTED_TO_LEARNERS) || defined(LEARNERS_CAMPAIGN)
#define LAST_ENTRY_FOR(h, peer) last_entry[h]
#else
#define LAST_ENTRY_FOR(h, peer)                                                                  \
  (CONTAINS(ALL_VOTERS(last_entry[h]) | ALL_VOTERS(commit[h]), peer) -> last_entry[h] : commit[h])
#endif

/* Sets is_equal_or_after if the log that ends with `last` contains the entry `first`. */
inline check_order(first, last) {
  i = last;
  do
  :: i > first -> i = parent[i]
  :: else -> break
  od;
  is_equal_or_after = (i == first);
  i = 0
}

inline append_entry(h, new_voters, new_outgoing, new_learners) {
  entry_count++;
  parent[entry_count] = last_entry[h];
  entry_term[entry_count] = term[h];
  voters[entry_count] = new_voters;
  outgoing[entry_count] = new_outgoing;
  learners[entry_count] = new_learners;
  last_entry[h] = entry_count
}

/* Ends a loss if `h` is the latest leader and has committed a complete membership. */
inline check_replacement(h) {
  if
  :: IS_LEADER(h) && term[h] == latest_term && commit[h] != EMPTY_LOG &&
     commit[h] == last_entry[h] && (ALL_VOTERS(last_entry[h]) & lost_mask) == 0 &&
     COUNT(VOTERS(h)) >= DESIRED_VOTERS ->
     loss_counts = false
  :: else
  fi
}

/* The hosts that aren't lost could elect a leader. */
inline check_surviving_quorum() {
  for (peer : 0 .. (HOSTS - 1)) {
    if
    :: !can_elect && !IS_LOST(peer) && last_entry[peer] != EMPTY_LOG ->
       for (i : 0 .. (HOSTS - 1)) {
         if
         :: GRANTS_VOTE(peer, i) -> quorum_mask = WITH(quorum_mask, i)
         :: else
         fi
       }
       if
       :: !IS_QUORUM(peer, quorum_mask) -> skip
       :: else ->
          check_order(committed_entry, last_entry[peer]);
          can_elect = CONTAINS(CANDIDATES(last_entry[peer]), peer) ||
                      (is_equal_or_after && CONTAINS(ALL_VOTERS(committed_entry), peer))
       fi;
       i = 0;
       quorum_mask = 0
    :: else
    fi
  }
  assert(can_elect);
  can_elect = false;
  is_equal_or_after = false;
  peer = 0
}

/* Commits the latest entry of the leader's term that a quorum has. */
inline advance_commit(h) {
  entry = last_entry[h];
  do
  :: entry_term[entry] == term[h] && entry > commit[h] ->
     quorum_mask = 0;
     for (peer : 0 .. (HOSTS - 1)) {
       check_order(entry, last_entry[peer]);
       if
       :: !IS_LOST(peer) && term[peer] == term[h] && is_equal_or_after ->
          quorum_mask = WITH(quorum_mask, peer)
       :: else
       fi
     }
     if
     :: IS_QUORUM(h, quorum_mask) -> break
     :: else -> entry = parent[entry]
     fi
  :: else -> entry = EMPTY_LOG; break
  od;
  if
  :: entry != EMPTY_LOG ->
     commit[h] = entry;
     if
     :: entry > committed_entry ->
        check_order(committed_entry, entry);
        assert(is_equal_or_after);
        committed_entry = entry
     :: else ->
        check_order(entry, committed_entry);
        assert(is_equal_or_after)
     fi
  :: else
  fi;
  is_equal_or_after = false;
  entry = 0;
  quorum_mask = 0;
  peer = 0
}

/* The peer gets the first entry for it that it doesn't have. */
inline copy_entry(h, to) {
  entry = LAST_ENTRY_FOR(h, to);
  check_order(entry, last_entry[to]);
  if
  :: is_equal_or_after
  :: else ->
     do
     :: true ->
        check_order(parent[entry], last_entry[to]);
        if
        :: is_equal_or_after -> break
        :: else -> entry = parent[entry]
        fi
     od;
     last_entry[to] = entry
  fi;
  is_equal_or_after = false;
  entry = 0;
  term[to] = term[h];
  leader_mask = WITHOUT(leader_mask, to);
  commit[to] = EMPTY_LOG
}

inline become_leader(h) {
  for (i : 1 .. ENTRIES) {
    assert(entry_term[i] != new_term)
  }
  for (i : 0 .. (HOSTS - 1)) {
    if
    :: CONTAINS(quorum_mask, i) ->
       term[i] = new_term;
       commit[i] = EMPTY_LOG
    :: else
    fi
  }
  i = 0;
  latest_term = (new_term > latest_term -> new_term : latest_term);
  leader_mask = WITH(leader_mask & (255 - quorum_mask), h);
  append_entry(h, VOTERS(h), OUTGOING(h), LEARNERS(h))
}

inline replace_voter(h, peer, successor) {
  append_entry(h, WITH(WITHOUT(VOTERS(h), peer), successor), VOTERS(h),
               WITHOUT(LEARNERS(h), successor))
}

inline lose_host(h) {
  loss_count++;
  loss_counts = true;
  lost_mask = WITH(lost_mask, h);
  leader_mask = WITHOUT(leader_mask, h);
  last_entry[h] = EMPTY_LOG;
  term[h] = 0;
  commit[h] = EMPTY_LOG;
  for (peer : 0 .. (HOSTS - 1)) {
    check_replacement(peer)
  }
  peer = 0
}

#ifdef LATE_REPLACEMENT
#define HAS_CAUGHT_UP(h)                                                                         \
  (!IS_LOST(h) && CONTAINS(learners[committed_entry], h) && last_entry[h] == committed_entry)
#define IS_LOSS_REPLACED (!loss_counts || HAS_CAUGHT_UP(3) || HAS_CAUGHT_UP(4))
#else
#define IS_LOSS_REPLACED (!loss_counts)
#endif
#define IS_SPARE_IN(set, h)                                                                      \
  (!CONTAINS(set, h) || COUNT(WITHOUT(set, h) & (255 - lost_mask)) >= DESIRED_VOTERS - 1)
#define IS_SPARE_FOR(other, h) (IS_SPARE_IN(VOTERS(other), h) && IS_SPARE_IN(OUTGOING(other), h))
#define MAY_LOSE_HOST(h)                                                                         \
  (IS_LOSS_REPLACED || (IS_SPARE_FOR(0, h) && IS_SPARE_FOR(1, h) && IS_SPARE_FOR(2, h) &&        \
                        IS_SPARE_FOR(3, h) && IS_SPARE_FOR(4, h)))

#ifdef UNCOMMITTED_CHANGES
#define MAY_CHANGE_MEMBERSHIP(h) (IS_LEADER(h) && term[h] == latest_term)
#define MAY_FINISH_REPLACEMENT(h) IS_LEADER(h)
#else
#define MAY_CHANGE_MEMBERSHIP(h)                                                                 \
  (IS_LEADER(h) && term[h] == latest_term && commit[h] != EMPTY_LOG &&                           \
   commit[h] == last_entry[h])
#define MAY_FINISH_REPLACEMENT(h) (IS_LEADER(h) && commit[h] == last_entry[h])
#endif

#define MAY_SEND_TO(h, peer)                                                                     \
  (peer != h && IS_PEER(h, peer) && !IS_LOST(peer) && term[peer] <= term[h] &&                   \
   LAST_ENTRY_FOR(h, peer) != EMPTY_LOG && last_entry[peer] != LAST_ENTRY_FOR(h, peer))
#define IS_CAUGHT_UP_LEARNER(h, peer)                                                            \
  (CONTAINS(LEARNERS(h), peer) && !IS_LOST(peer) && term[peer] == term[h] &&                     \
   last_entry[peer] != EMPTY_LOG)
/* The number of voters from which on no learner is promoted by a single change. */
#ifdef PROMOTE_FIRST
#define PROMOTION_LIMIT (DESIRED_VOTERS + 1)
#else
#define PROMOTION_LIMIT DESIRED_VOTERS
#endif
#define MAY_PROMOTE(h, peer)                                                                     \
  (IS_CAUGHT_UP_LEARNER(h, peer) && COUNT(VOTERS(h)) < PROMOTION_LIMIT)
#ifdef REMOVE_FIRST
#define IS_REPLACED(h) (COUNT(VOTERS(h)) >= DESIRED_VOTERS)
#else
#define IS_REPLACED(h) (COUNT(VOTERS(h)) > DESIRED_VOTERS)
#endif
#define MAY_REMOVE(h, peer)                                                                      \
  (CONTAINS(VOTERS(h), peer) && peer != h && (IS_LOST(peer) || IS_REPLACED(h)))
#if defined(REMOVE_FIRST) || defined(PROMOTE_FIRST)
#define MAY_REPLACE(h, peer, successor) false
#else
#define MAY_REPLACE(h, peer, successor)                                                          \
  (CONTAINS(VOTERS(h), peer) && peer != h && COUNT(VOTERS(h)) == DESIRED_VOTERS &&               \
   IS_CAUGHT_UP_LEARNER(h, successor))
#endif

proctype Host(byte h) {
end:
  do
  /* Election, by a smallest quorum of the candidate's latest membership. */
  :: atomic {
       MAY_CAMPAIGN(h) && entry_count < ENTRIES ->
       new_term = term[h];
       quorum_mask = WITH(0, h);
       do
       :: peer < HOSTS ->
          if
          :: peer != h && !IS_QUORUM(h, quorum_mask) && GRANTS_VOTE(h, peer) ->
             quorum_mask = WITH(quorum_mask, peer);
             new_term = (term[peer] > new_term -> term[peer] : new_term)
          :: true
          fi;
          peer++
       :: else -> break
       od;
       peer = 0;
       new_term++;
       if
       :: IS_QUORUM(h, quorum_mask) && new_term <= TERMS ->
          d_step {
            become_leader(h);
            quorum_mask = 0;
            check_surviving_quorum()
          }
       :: else
       fi;
       new_term = 0;
       quorum_mask = 0
     }
  /* A peer gets one more entry of the leader's log. */
  :: atomic {
       IS_LEADER(h) && (MAY_SEND_TO(h, 0) || MAY_SEND_TO(h, 1) || MAY_SEND_TO(h, 2) ||
                        MAY_SEND_TO(h, 3) || MAY_SEND_TO(h, 4)) ->
       if
       :: MAY_SEND_TO(h, 0) -> peer = 0
       :: MAY_SEND_TO(h, 1) -> peer = 1
       :: MAY_SEND_TO(h, 2) -> peer = 2
       :: MAY_SEND_TO(h, 3) -> peer = 3
       :: MAY_SEND_TO(h, 4) -> peer = 4
       fi;
       d_step {
         copy_entry(h, peer);
         peer = 0;
         advance_commit(h);
         check_replacement(h);
         check_surviving_quorum()
       }
     }
  /* Begin of a membership change. */
  :: atomic {
       MAY_CHANGE_MEMBERSHIP(h) && OUTGOING(h) == 0 && entry_count < ENTRIES ->
       if
       :: peer = 0
       :: peer = 1
       :: peer = 2
       :: peer = 3
       :: peer = 4
       fi;
       if
       :: !IS_MEMBER(h, peer) && !IS_LOST(peer) ->
          append_entry(h, VOTERS(h), 0, WITH(LEARNERS(h), peer))
       :: MAY_PROMOTE(h, peer) ->
          append_entry(h, WITH(VOTERS(h), peer), 0, WITHOUT(LEARNERS(h), peer))
       :: MAY_REMOVE(h, peer) ->
          append_entry(h, WITHOUT(VOTERS(h), peer), 0, LEARNERS(h))
       :: MAY_REPLACE(h, peer, 0) -> replace_voter(h, peer, 0)
       :: MAY_REPLACE(h, peer, 1) -> replace_voter(h, peer, 1)
       :: MAY_REPLACE(h, peer, 2) -> replace_voter(h, peer, 2)
       :: MAY_REPLACE(h, peer, 3) -> replace_voter(h, peer, 3)
       :: MAY_REPLACE(h, peer, 4) -> replace_voter(h, peer, 4)
       :: else
       fi;
       d_step {
         peer = 0;
         check_surviving_quorum()
       }
     }
  /* Second step of a replacement. */
  :: atomic {
       MAY_FINISH_REPLACEMENT(h) && OUTGOING(h) != 0 && entry_count < ENTRIES ->
       d_step {
         append_entry(h, VOTERS(h), 0, LEARNERS(h));
         check_surviving_quorum()
       }
     }
  /* The host is lost for good. */
  :: atomic {
       !IS_LOST(h) && loss_count < LOSSES && MAY_LOSE_HOST(h) ->
       d_step {
         lose_host(h);
         check_surviving_quorum()
       }
     }
  od
}

init {
  atomic {
    parent[INITIAL_ENTRY] = EMPTY_LOG;
    entry_term[INITIAL_ENTRY] = 1;
    voters[INITIAL_ENTRY] = INITIAL_VOTERS;
    learners[INITIAL_ENTRY] = INITIAL_LEARNERS;
    for (i : 0 .. (DESIRED_VOTERS - 1)) {
      term[i] = 1;
      last_entry[i] = INITIAL_ENTRY
    }
    i = 0;
    leader_mask = WITH(0, 0);
    commit[0] = INITIAL_ENTRY;
    run Host(0);
    run Host(1);
    run Host(2);
    run Host(3);
    run Host(4)
  }
}
