/*
 * Replicated configuration: three replicas with a log, and two operators whose
 * changes race with equal expected versions and who resend their change if the
 * response was lost.
 *
 * A leader appends changes and responds to an operator once the change is
 * committed: a quorum has an entry of the leader's own term. The outcome follows
 * from the log by compare-and-set: the first change is accepted, the second one
 * conflicts; a change whose id is already in the log is not appended again.
 * Replicas crash and restart; log, term and vote are on disk, leadership is not.
 * An election takes one step, with any quorum of live replicas whose logs aren't
 * newer than the candidate's.
 *
 * Properties: a committed entry is the same in each later commit (an accepted
 * change never reverts); each operator gets the same outcome each time; at most
 * one change is accepted.
 *
 * -DNO_QUORUM lets a leader respond as soon as the change is in its own log.
 */
#define REPLICAS 3
#define TERMS 3
/* Each of the three terms adds one entry without a change, and there are two changes. */
#define MAXIMUM_LENGTH 5
#define CRASHES 2
#define ENTRY_INDEX(replica, position) ((replica) * MAXIMUM_LENGTH + (position))
#define LAST_TERM(r) (length[r] == 0 -> 0 : log_term[ENTRY_INDEX(r, length[r] - 1)])
#define UP_TO_DATE(candidate, voter)                                                             \
  (LAST_TERM(candidate) > LAST_TERM(voter) ||                                                    \
   (LAST_TERM(candidate) == LAST_TERM(voter) && length[candidate] >= length[voter]))
#define GRANTS_VOTE(candidate, voter)                                                            \
  (!crashed[voter] && term[voter] <= term[candidate] && UP_TO_DATE(candidate, voter))

/* Entries: 0 changes nothing, 1 and 2 are the changes of the operators. */
#define NO_CHANGE 0
#define NO_OUTCOME 0
#define ACCEPTED 1
#define CONFLICT 2

byte term[REPLICAS];
byte length[REPLICAS];
byte log_term[15];
byte log_change[15];
bool is_leader[REPLICAS];
bool crashed[REPLICAS];
byte crash_count;
byte highest_term;

/* State that only the properties use: the committed entries and the returned outcomes. */
byte committed_length;
byte committed_change[MAXIMUM_LENGTH];
byte outcome[3];

inline append_entry(r, change) {
  log_term[ENTRY_INDEX(r, length[r])] = term[r];
  log_change[ENTRY_INDEX(r, length[r])] = change;
  length[r]++
}

/* Replaces the log of `to` by the first `position` entries of the leader `from`. */
inline copy_log(from, to, position) {
  term[to] = term[from];
  is_leader[to] = false;
  for (i : 0 .. (MAXIMUM_LENGTH - 1)) {
    if
    :: i < position ->
       log_term[ENTRY_INDEX(to, i)] = log_term[ENTRY_INDEX(from, i)];
       log_change[ENTRY_INDEX(to, i)] = log_change[ENTRY_INDEX(from, i)]
    :: else ->
       log_term[ENTRY_INDEX(to, i)] = 0;
       log_change[ENTRY_INDEX(to, i)] = 0
    fi
  }
  length[to] = position;
  i = 0
}

/* Sets is_prefix if the log of the follower `to` is a prefix of that of the leader `from`. */
inline check_prefix(from, to) {
  is_prefix = (length[to] <= length[from]);
  for (i : 0 .. (MAXIMUM_LENGTH - 1)) {
    if
    :: i < length[to] && (log_term[ENTRY_INDEX(to, i)] != log_term[ENTRY_INDEX(from, i)]) ->
       is_prefix = false
    :: else
    fi
  }
  i = 0
}

/* Commits the leader's log up to `position`. */
inline commit(r, position) {
  for (i : 0 .. (MAXIMUM_LENGTH - 1)) {
    if
    :: i < position && i < committed_length ->
       assert(committed_change[i] == log_change[ENTRY_INDEX(r, i)])
    :: i < position && i >= committed_length ->
       committed_change[i] = log_change[ENTRY_INDEX(r, i)];
       committed_length = i + 1
    :: else
    fi
  }
  i = 0
}

/* Sends the outcome of a change, which follows from the first `position` log entries. */
inline respond(r, change, position) {
  result = NO_OUTCOME;
  accepted_change = 0;
  for (i : 0 .. (MAXIMUM_LENGTH - 1)) {
    if
    :: i < position && log_change[ENTRY_INDEX(r, i)] != NO_CHANGE ->
       if
       :: accepted_change == 0 -> accepted_change = log_change[ENTRY_INDEX(r, i)]
       :: else
       fi;
       if
       :: log_change[ENTRY_INDEX(r, i)] == change ->
          result = (accepted_change == change -> ACCEPTED : CONFLICT)
       :: else
       fi
    :: else
    fi
  }
  i = 0;
  accepted_change = 0;
  if
  :: result != NO_OUTCOME ->
     assert(outcome[change] == NO_OUTCOME || outcome[change] == result);
     outcome[change] = result;
     assert(!(outcome[1] == ACCEPTED && outcome[2] == ACCEPTED))
  :: else
  fi;
  result = NO_OUTCOME
}

inline check_in_log(r, change) {
  is_in_log = false;
  for (i : 0 .. (MAXIMUM_LENGTH - 1)) {
    if
    :: i < length[r] && log_change[ENTRY_INDEX(r, i)] == change -> is_in_log = true
    :: else
    fi
  }
  i = 0
}

proctype Replica(byte r) {
  byte i;
  byte accepted_change;
  byte result;
  byte change;
  byte peer;
  bool is_prefix;
  bool is_in_log;
  byte first_peer = (r + 1) % REPLICAS;
  byte second_peer = (r + 2) % REPLICAS;
end:
  do
  /* Election in a new term, by a quorum of this replica and a peer. */
  :: atomic {
       !crashed[r] && !is_leader[r] && highest_term < TERMS ->
       if
       :: GRANTS_VOTE(r, first_peer) && term[first_peer] <= highest_term -> peer = first_peer
       :: GRANTS_VOTE(r, second_peer) && term[second_peer] <= highest_term -> peer = second_peer
       :: else -> peer = r
       fi;
       if
       :: peer != r ->
          highest_term++;
          term[r] = highest_term;
          term[peer] = highest_term;
          is_leader[peer] = false;
          is_leader[r] = true;
          append_entry(r, NO_CHANGE)
       :: else
       fi;
       peer = 0
     }
  /* A change, sent or resent by its operator. */
  :: atomic {
       !crashed[r] && is_leader[r] && length[r] < MAXIMUM_LENGTH ->
       select(change : 1 .. 2);
       check_in_log(r, change);
       if
       :: !is_in_log -> append_entry(r, change)
       :: else
       fi;
#ifdef NO_QUORUM
       respond(r, change, length[r]);
#endif
       is_in_log = false;
       change = 0
     }
  /* A follower copies the whole log, or one more entry if its log is a prefix of the leader's. */
  :: atomic {
       !crashed[r] && is_leader[r] ->
       if
       :: peer = first_peer
       :: peer = second_peer
       fi;
       if
       :: !crashed[peer] && term[peer] <= term[r] ->
          check_prefix(r, peer);
          if
          :: is_prefix && length[peer] < length[r] -> copy_log(r, peer, length[peer] + 1)
          :: !is_prefix -> copy_log(r, peer, length[r])
          :: else -> term[peer] = term[r]
          fi
       :: else
       fi;
       is_prefix = false;
       peer = 0
     }
  /* Commit and response, with a peer that has an entry of the leader's own term. */
  :: atomic {
       !crashed[r] && is_leader[r] ->
       if
       :: peer = first_peer
       :: peer = second_peer
       fi;
       if
       :: !crashed[peer] && term[peer] == term[r] ->
          check_prefix(r, peer);
          if
          :: is_prefix && LAST_TERM(peer) == term[r] ->
             commit(r, length[peer]);
             respond(r, 1, length[peer]);
             respond(r, 2, length[peer])
          :: else
          fi
       :: else
       fi;
       is_prefix = false;
       peer = 0
     }
  :: atomic {
       !crashed[r] && crash_count < CRASHES ->
       crash_count++;
       crashed[r] = true;
       is_leader[r] = false
     }
  :: atomic { crashed[r] -> crashed[r] = false }
  od
}

init {
  atomic {
    run Replica(0);
    run Replica(1);
    run Replica(2)
  }
}
