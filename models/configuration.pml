/*
 * Replicated configuration: three replicas with a log, two operators whose
 * changes race with equal expected versions and who resend after lost answers.
 *
 * A leader appends changes and answers an operator once the change is committed:
 * an entry of the leader's own term on a quorum. The outcome follows from the
 * log by compare-and-set: the first change wins, the second one conflicts; a
 * change id that is in the log already is not appended again. Replicas crash
 * and restart; log, term and vote are on disk, leadership is not. An election
 * takes one step, with any quorum of live replicas whose logs aren't newer.
 *
 * Properties: a committed entry is the same in each later commit (an accepted
 * change never reverts); each operator gets the same outcome each time; at most
 * one change wins.
 *
 * -DNO_QUORUM lets a leader answer as soon as the change is in its own log.
 */
#define REPLICAS 3
#define TERMS 3
/* Each term brings one entry without a change, and there are two changes. */
#define LENGTH 5
#define CRASHES 2
#define ENTRY(replica, position) ((replica) * LENGTH + (position))
#define LAST_TERM(r) (length[r] == 0 -> 0 : log_term[ENTRY(r, length[r] - 1)])
#define UP_TO_DATE(candidate, voter)                                                             \
  (LAST_TERM(candidate) > LAST_TERM(voter) ||                                                    \
   (LAST_TERM(candidate) == LAST_TERM(voter) && length[candidate] >= length[voter]))
#define VOTES(candidate, voter)                                                                  \
  (!down[voter] && term[voter] <= term[candidate] && UP_TO_DATE(candidate, voter))

/* Entries: 0 changes nothing, 1 and 2 are the operators' changes. */
#define NO_CHANGE 0
#define UNKNOWN 0
#define WON 1
#define CONFLICT 2

byte term[REPLICAS];
byte length[REPLICAS];
byte log_term[15];
byte log_change[15];
bool leader[REPLICAS];
bool down[REPLICAS];
byte crashes;
byte highest_term;

/* Ghost state: entries that were committed, and the outcomes that were answered. */
byte committed;
byte committed_change[LENGTH];
byte outcome[3];

inline append(r, change) {
  log_term[ENTRY(r, length[r])] = term[r];
  log_change[ENTRY(r, length[r])] = change;
  length[r]++
}

/* Lets `to` copy the log of the leader `from`, up to `position`. */
inline copy_log(from, to, position) {
  term[to] = term[from];
  leader[to] = false;
  for (i : 0 .. (LENGTH - 1)) {
    if
    :: i < position ->
       log_term[ENTRY(to, i)] = log_term[ENTRY(from, i)];
       log_change[ENTRY(to, i)] = log_change[ENTRY(from, i)]
    :: else ->
       log_term[ENTRY(to, i)] = 0;
       log_change[ENTRY(to, i)] = 0
    fi
  }
  length[to] = position;
  i = 0
}

/* The follower's log is a beginning of the leader's. */
inline check_prefix(from, to) {
  prefix = (length[to] <= length[from]);
  for (i : 0 .. (LENGTH - 1)) {
    if
    :: i < length[to] && (log_term[ENTRY(to, i)] != log_term[ENTRY(from, i)]) -> prefix = false
    :: else
    fi
  }
  i = 0
}

/* Commits the leader's log up to `position`. */
inline commit(r, position) {
  for (i : 0 .. (LENGTH - 1)) {
    if
    :: i < position && i < committed -> assert(committed_change[i] == log_change[ENTRY(r, i)])
    :: i < position && i >= committed ->
       committed_change[i] = log_change[ENTRY(r, i)];
       committed = i + 1
    :: else
    fi
  }
  i = 0
}

/* Answers an operator from the first `position` entries of the leader's log. */
inline answer(r, change, position) {
  result = UNKNOWN;
  winner = 0;
  for (i : 0 .. (LENGTH - 1)) {
    if
    :: i < position && log_change[ENTRY(r, i)] != NO_CHANGE ->
       if
       :: winner == 0 -> winner = log_change[ENTRY(r, i)]
       :: else
       fi;
       if
       :: log_change[ENTRY(r, i)] == change -> result = (winner == change -> WON : CONFLICT)
       :: else
       fi
    :: else
    fi
  }
  i = 0;
  winner = 0;
  if
  :: result != UNKNOWN ->
     assert(outcome[change] == UNKNOWN || outcome[change] == result);
     outcome[change] = result;
     assert(!(outcome[1] == WON && outcome[2] == WON))
  :: else
  fi;
  result = UNKNOWN
}

inline contains(r, change) {
  known = false;
  for (i : 0 .. (LENGTH - 1)) {
    if
    :: i < length[r] && log_change[ENTRY(r, i)] == change -> known = true
    :: else
    fi
  }
  i = 0
}

proctype Replica(byte r) {
  byte i;
  byte winner;
  byte result;
  byte change;
  byte peer;
  bool prefix;
  bool known;
  byte first = (r + 1) % REPLICAS;
  byte second = (r + 2) % REPLICAS;
end:
  do
  /* Election in a new term, by a quorum of this replica and a peer. */
  :: atomic {
       !down[r] && !leader[r] && highest_term < TERMS ->
       if
       :: VOTES(r, first) && term[first] <= highest_term -> peer = first
       :: VOTES(r, second) && term[second] <= highest_term -> peer = second
       :: else -> peer = r
       fi;
       if
       :: peer != r ->
          highest_term++;
          term[r] = highest_term;
          term[peer] = highest_term;
          leader[peer] = false;
          leader[r] = true;
          append(r, NO_CHANGE)
       :: else
       fi;
       peer = 0
     }
  /* A change, sent or resent by its operator. */
  :: atomic {
       !down[r] && leader[r] && length[r] < LENGTH ->
       select(change : 1 .. 2);
       contains(r, change);
       if
       :: !known -> append(r, change)
       :: else
       fi;
#ifdef NO_QUORUM
       answer(r, change, length[r]);
#endif
       known = false;
       change = 0
     }
  /* A follower takes the whole log, or one more entry if its log is a beginning of it. */
  :: atomic {
       !down[r] && leader[r] ->
       if
       :: peer = first
       :: peer = second
       fi;
       if
       :: !down[peer] && term[peer] <= term[r] ->
          check_prefix(r, peer);
          if
          :: prefix && length[peer] < length[r] -> copy_log(r, peer, length[peer] + 1)
          :: !prefix -> copy_log(r, peer, length[r])
          :: else -> term[peer] = term[r]
          fi
       :: else
       fi;
       prefix = false;
       peer = 0
     }
  /* Commit and answer, with a peer that has an entry of the leader's own term. */
  :: atomic {
       !down[r] && leader[r] ->
       if
       :: peer = first
       :: peer = second
       fi;
       if
       :: !down[peer] && term[peer] == term[r] ->
          check_prefix(r, peer);
          if
          :: prefix && LAST_TERM(peer) == term[r] ->
             commit(r, length[peer]);
             answer(r, 1, length[peer]);
             answer(r, 2, length[peer])
          :: else
          fi
       :: else
       fi;
       prefix = false;
       peer = 0
     }
  :: atomic {
       !down[r] && crashes < CRASHES ->
       crashes++;
       down[r] = true;
       leader[r] = false
     }
  :: atomic { down[r] -> down[r] = false }
  od
}

init {
  atomic {
    run Replica(0);
    run Replica(1);
    run Replica(2)
  }
}
