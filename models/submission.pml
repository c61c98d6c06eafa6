/*
 * One submission with one task under changing views of a data centre, as in
 * src/jobs/submission_ledger.h: claim, accept and start records at a backup,
 * takeover by the backup, proof by the backup that an id is new, resubmission
 * to any host at any time.
 *
 * A message that was sent stays available: it can be received late, out of
 * order, repeatedly or never. Hosts learn views one after the other at any
 * time, so that a host that lags behind is one that a partition isolates. No
 * lease stops a host of an old view: leases only protect ids that are created
 * after the next view was decided, and this id is created in the first one.
 *
 * Properties: the task starts at most once; after one loss (crash or exclusion
 * of a member) since the last repair, an accepted job has a holder, and an
 * owner once all members have learned the view.
 *
 * -DNO_FENCING lets a backup store and acknowledge records of other epochs.
 */
#define HOSTS 3
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define NOBODY HOSTS
#define ALL 7

#define IN(mask, host) (((mask) >> (host)) & 1)
/* Order of preference of the id: 0, 1, 2. */
#define FIRST(mask) (IN(mask, 0) -> 0 : (IN(mask, 1) -> 1 : (IN(mask, 2) -> 2 : NOBODY)))
#define WITHOUT(mask, host) ((mask) & (ALL - (1 << (host))))
#define BACKUP(mask, host) FIRST(WITHOUT(mask, host))
#define SECOND(mask) BACKUP(mask, FIRST(mask))
#define HOLDS(mask, host) (FIRST(mask) == (host) || SECOND(mask) == (host))
#define VIEW(host) view[known[host]]
#define RECORD(epoch, from, to) ((((epoch) - 1) * HOSTS + (from)) * HOSTS + (to))
#define RECORDS 27

#define NONE 0
#define OWNER 1
#define COPY 2

byte view[EPOCHS + 1];
byte decided = 1;
byte known[HOSTS];
bool dead[HOSTS];
byte crashes;

byte role[HOSTS];
byte owner_of[HOSTS];
byte backup_of[HOSTS];
/* Owner: the backup in force acknowledged a record. */
bool copied[HOSTS];
/* Owner: the task is started, here or earlier. Copy: its start is recorded. */
bool start_known[HOSTS];
bool unproven[HOSTS];
/* The host was owner or backup of the id in each view that it learned. */
bool held[HOSTS];

/* Records and acknowledgements that were sent: accept only, accept with start, unproven. */
bool accept_sent[RECORDS];
bool start_sent[RECORDS];
bool claim_sent[RECORDS];
bool accept_acked[RECORDS];
bool start_acked[RECORDS];
bool claim_acked[RECORDS];

byte starts;
bool accepted;
/* Losses since the last moment at which the job had all its holders. */
byte losses;

inline check_holders() {
  if
  :: accepted && losses <= 1 ->
     assert((!dead[0] && IN(view[decided], 0) && role[0] != NONE) ||
            (!dead[1] && IN(view[decided], 1) && role[1] != NONE) ||
            (!dead[2] && IN(view[decided], 2) && role[2] != NONE));
     if
     :: (dead[0] || !IN(view[decided], 0) || known[0] == decided) &&
        (dead[1] || !IN(view[decided], 1) || known[1] == decided) &&
        (dead[2] || !IN(view[decided], 2) || known[2] == decided) &&
        (dead[0] + dead[1] + dead[2] == 0 ||
         ((!dead[0] || !IN(view[decided], 0)) && (!dead[1] || !IN(view[decided], 1)) &&
          (!dead[2] || !IN(view[decided], 2)))) ->
        assert(role[0] == OWNER || role[1] == OWNER || role[2] == OWNER)
     :: else
     fi
  :: else
  fi
}

/* The job has all its holders under the latest view. */
inline check_repair(h) {
  if
  :: known[h] == decided && role[h] == OWNER && copied[h] && backup_of[h] != NOBODY ->
     if
     :: !dead[backup_of[h]] && known[backup_of[h]] == decided &&
        role[backup_of[h]] == COPY && owner_of[backup_of[h]] == h ->
        losses = 0
     :: else
     fi
  :: else
  fi
}

inline send_record(h) {
  if
  :: backup_of[h] == NOBODY
  :: backup_of[h] != NOBODY && unproven[h] ->
     claim_sent[RECORD(known[h], h, backup_of[h])] = true
  :: backup_of[h] != NOBODY && !unproven[h] && start_known[h] ->
     start_sent[RECORD(known[h], h, backup_of[h])] = true
  :: backup_of[h] != NOBODY && !unproven[h] && !start_known[h] ->
     accept_sent[RECORD(known[h], h, backup_of[h])] = true
  :: backup_of[h] != NOBODY && !unproven[h] && !start_known[h] ->
     start_sent[RECORD(known[h], h, backup_of[h])] = true
  fi
}

inline submit(h) {
  role[h] = OWNER;
  owner_of[h] = h;
  backup_of[h] = BACKUP(VIEW(h), h);
  copied[h] = false;
  start_known[h] = false;
  unproven[h] = !held[h];
  send_record(h)
}

inline start_task(h) {
  if
  :: !start_known[h] ->
     start_known[h] = true;
     starts++;
     assert(starts <= 1)
  :: else
  fi
}

inline forget(h) {
  role[h] = NONE;
  owner_of[h] = NOBODY;
  backup_of[h] = NOBODY;
  copied[h] = false;
  start_known[h] = false;
  unproven[h] = false
}

inline learn_view(h) {
  known[h]++;
  held[h] = held[h] && HOLDS(VIEW(h), h);
  if
  :: !IN(VIEW(h), h) -> forget(h)
  :: IN(VIEW(h), h) && role[h] == OWNER ->
     if
     :: backup_of[h] == NOBODY || !IN(VIEW(h), backup_of[h]) ->
        backup_of[h] = BACKUP(VIEW(h), h);
        copied[h] = false
     :: else
     fi;
     if
     :: unproven[h] && backup_of[h] == NOBODY -> forget(h)
     :: else -> send_record(h)
     fi
  :: IN(VIEW(h), h) && role[h] == COPY && !IN(VIEW(h), owner_of[h]) ->
     role[h] = OWNER;
     owner_of[h] = h;
     backup_of[h] = BACKUP(VIEW(h), h);
     copied[h] = false;
     send_record(h)
  :: else
  fi
}

#ifdef NO_FENCING
#define ACCEPTS(h, from, epoch) (epoch <= decided)
#define MAY_STORE(h, from) true
#else
#define ACCEPTS(h, from, epoch) (epoch == known[h] && IN(VIEW(h), h) && IN(VIEW(h), from))
#define MAY_STORE(h, from) (role[h] == NONE || (role[h] == COPY && owner_of[h] == from))
#endif

inline store(h, from, with_start) {
  if
  :: role[h] == NONE ->
     role[h] = COPY;
     owner_of[h] = from;
     start_known[h] = with_start
  :: role[h] == COPY -> start_known[h] = start_known[h] || with_start
  :: else
  fi
}

inline receive_record(h, from, epoch) {
  if
  :: accept_sent[RECORD(epoch, from, h)] && !accept_acked[RECORD(epoch, from, h)] &&
     MAY_STORE(h, from) ->
     store(h, from, false);
     accept_acked[RECORD(epoch, from, h)] = true
  :: start_sent[RECORD(epoch, from, h)] && !start_acked[RECORD(epoch, from, h)] &&
     MAY_STORE(h, from) ->
     store(h, from, true);
     start_acked[RECORD(epoch, from, h)] = true
  :: claim_sent[RECORD(epoch, from, h)] && !claim_acked[RECORD(epoch, from, h)] &&
     role[h] == NONE && held[h] ->
     store(h, from, false);
     claim_acked[RECORD(epoch, from, h)] = true
  :: else
  fi
}

inline receive_ack(h) {
  if
  :: claim_acked[RECORD(known[h], h, backup_of[h])] && unproven[h] ->
     unproven[h] = false;
     copied[h] = true;
     accepted = true
  :: accept_acked[RECORD(known[h], h, backup_of[h])] && !copied[h] && !unproven[h] &&
     !start_known[h] ->
     copied[h] = true;
     accepted = true
  :: start_acked[RECORD(known[h], h, backup_of[h])] && !unproven[h] &&
     (!copied[h] || !start_known[h]) ->
     copied[h] = true;
     accepted = true;
     start_task(h)
  :: else
  fi
}

#define ACTS(h) (!dead[h] && IN(VIEW(h), h))

proctype Host(byte h) {
  byte from;
  byte epoch;
end:
  do
  /* A submission or resubmission reaches the first host of the view that it knows. */
  :: atomic {
       ACTS(h) && role[h] == NONE && FIRST(VIEW(h)) == h && BACKUP(VIEW(h), h) != NOBODY ->
       submit(h)
     }
  /* The start record follows the accept record. */
  :: atomic {
       ACTS(h) && role[h] == OWNER && !unproven[h] && backup_of[h] != NOBODY &&
       !start_sent[RECORD(known[h], h, backup_of[h])] ->
       start_sent[RECORD(known[h], h, backup_of[h])] = true
     }
  :: atomic {
       ACTS(h) && role[h] == OWNER && backup_of[h] != NOBODY ->
       receive_ack(h);
       check_repair(h)
     }
  /* The last host of a view starts what it already had accepted. */
  :: atomic {
       ACTS(h) && role[h] == OWNER && backup_of[h] == NOBODY && !start_known[h] -> start_task(h)
     }
  /* The backup knows the id, or the caller gave up. */
  :: atomic { ACTS(h) && role[h] == OWNER && unproven[h] -> forget(h) }
  :: atomic {
       !dead[h] ->
       select(from : 0 .. 2);
#ifdef NO_FENCING
       select(epoch : 1 .. EPOCHS);
#else
       epoch = known[h];
#endif
       if
       :: from != h && ACCEPTS(h, from, epoch) -> receive_record(h, from, epoch)
       :: else
       fi;
       from = 0;
       epoch = 0
     }
  :: atomic { !dead[h] && known[h] < decided -> learn_view(h); check_holders(); check_repair(h) }
  od
}

inline lose(h) {
  if
  :: IN(view[decided], h) && !dead[h] -> losses++
  :: else
  fi
}

proctype Environment() {
  byte members;
end:
  do
  :: atomic {
       decided < EPOCHS ->
       select(members : 1 .. ALL);
       if
       :: (IN(members, 0) && dead[0]) || (IN(members, 1) && dead[1]) || (IN(members, 2) && dead[2])
       :: else ->
          if
          :: !IN(members, 0) -> lose(0)
          :: else
          fi;
          if
          :: !IN(members, 1) -> lose(1)
          :: else
          fi;
          if
          :: !IN(members, 2) -> lose(2)
          :: else
          fi;
          decided++;
          view[decided] = members;
          check_holders()
       fi;
       members = 0
     }
  :: atomic {
       crashes < CRASHES ->
       crashes++;
       if
       :: !dead[0] -> lose(0); dead[0] = true; forget(0)
       :: !dead[1] -> lose(1); dead[1] = true; forget(1)
       :: !dead[2] -> lose(2); dead[2] = true; forget(2)
       :: else
       fi;
       check_holders()
     }
  od
}

init {
  byte h;
  atomic {
    if
    :: view[1] = ALL
    /* Host 0 joins later, although it comes first for the id. */
    :: view[1] = WITHOUT(ALL, 0)
    fi;
    for (h : 0 .. 2) {
      known[h] = 1;
      held[h] = HOLDS(view[1], h);
      owner_of[h] = NOBODY;
      backup_of[h] = NOBODY
    }
    run Host(0);
    run Host(1);
    run Host(2);
    run Environment()
  }
}
