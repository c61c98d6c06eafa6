/*
 * One submission with one task under changing membership views of a data
 * centre, as in src/jobs/job_coordinator.h: the owner sends accept and start
 * records to a backup, the backup checks that the id is new if the owner can't,
 * the backup takes over from a lost owner, and the caller may resubmit to any
 * host at any time.
 *
 * A message that was sent stays available: it can be received late, out of
 * order, repeatedly or never. Hosts adopt views one after the other at any
 * time, so that a host that lags behind stands for one that a partition
 * isolates. No lease stops a host that still has an old view: leases only
 * protect ids that are created after the next view was decided, and this id is
 * created in the first view.
 *
 * Properties: the task starts at most once; after one loss (crash or exclusion
 * of a member) since the last repair, an accepted job has a replica host, and
 * an owner once all members have adopted the latest view.
 *
 * -DNO_FENCING lets a host acknowledge records of any epoch and sender, whatever
 * its own role.
 */
#define HOSTS 3
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define NO_HOST HOSTS
#define ALL_HOSTS 7

#define CONTAINS(mask, host) (((mask) >> (host)) & 1)
/* The id prefers the hosts in the order 0, 1, 2. A mask has one bit for each member. */
#define FIRST_HOST(mask)                                                                         \
  (CONTAINS(mask, 0) -> 0 : (CONTAINS(mask, 1) -> 1 : (CONTAINS(mask, 2) -> 2 : NO_HOST)))
#define WITHOUT(mask, host) ((mask) & (ALL_HOSTS - (1 << (host))))
#define BACKUP_HOST(mask, host) FIRST_HOST(WITHOUT(mask, host))
#define SECOND_HOST(mask) BACKUP_HOST(mask, FIRST_HOST(mask))
#define IS_REPLICA_HOST(mask, host) (FIRST_HOST(mask) == (host) || SECOND_HOST(mask) == (host))
#define VIEW(host) view[known_epoch[host]]
#define RECORD_INDEX(epoch, from, to) ((((epoch) - 1) * HOSTS + (from)) * HOSTS + (to))
#define RECORD_COUNT 27

#define NONE 0
#define OWNER 1
#define BACKUP 2

byte view[EPOCHS + 1];
byte latest_epoch = 1;
byte known_epoch[HOSTS];
bool crashed[HOSTS];
byte crash_count;

byte role[HOSTS];
byte owner_of[HOSTS];
byte backup_of[HOSTS];
/* Owner: the current backup has acknowledged a record. */
bool is_backed_up[HOSTS];
/* Owner: the task was started, here or by an earlier owner. Backup: its start is recorded. */
bool start_known[HOSTS];
bool requires_uniqueness_check[HOSTS];
/* The host was owner or backup of the id in each view that it has adopted. */
bool was_replica_host[HOSTS];

/*
 * Records and acknowledgements that were sent: accept, accept with start, and
 * accept with the check that the id is new.
 */
bool accept_sent[RECORD_COUNT];
bool start_sent[RECORD_COUNT];
bool uniqueness_check_sent[RECORD_COUNT];
bool accept_acked[RECORD_COUNT];
bool start_acked[RECORD_COUNT];
bool uniqueness_check_acked[RECORD_COUNT];

byte start_count;
bool is_accepted;
/* Losses since the job last had all its replica hosts. */
byte losses_since_repair;

inline check_replica_hosts() {
  if
  :: is_accepted && losses_since_repair <= 1 ->
     assert((!crashed[0] && CONTAINS(view[latest_epoch], 0) && role[0] != NONE) ||
            (!crashed[1] && CONTAINS(view[latest_epoch], 1) && role[1] != NONE) ||
            (!crashed[2] && CONTAINS(view[latest_epoch], 2) && role[2] != NONE));
     if
     :: (crashed[0] || !CONTAINS(view[latest_epoch], 0) || known_epoch[0] == latest_epoch) &&
        (crashed[1] || !CONTAINS(view[latest_epoch], 1) || known_epoch[1] == latest_epoch) &&
        (crashed[2] || !CONTAINS(view[latest_epoch], 2) || known_epoch[2] == latest_epoch) &&
        (crashed[0] + crashed[1] + crashed[2] == 0 ||
         ((!crashed[0] || !CONTAINS(view[latest_epoch], 0)) &&
          (!crashed[1] || !CONTAINS(view[latest_epoch], 1)) &&
          (!crashed[2] || !CONTAINS(view[latest_epoch], 2)))) ->
        assert(role[0] == OWNER || role[1] == OWNER || role[2] == OWNER)
     :: else
     fi
  :: else
  fi
}

/* Resets the count of losses if the job has all its replica hosts in the latest view. */
inline check_repair(h) {
  if
  :: known_epoch[h] == latest_epoch && role[h] == OWNER && is_backed_up[h] &&
     backup_of[h] != NO_HOST ->
     if
     :: !crashed[backup_of[h]] && known_epoch[backup_of[h]] == latest_epoch &&
        role[backup_of[h]] == BACKUP && owner_of[backup_of[h]] == h ->
        losses_since_repair = 0
     :: else
     fi
  :: else
  fi
}

inline send_record(h) {
  if
  :: backup_of[h] == NO_HOST
  :: backup_of[h] != NO_HOST && requires_uniqueness_check[h] ->
     uniqueness_check_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] = true
  :: backup_of[h] != NO_HOST && !requires_uniqueness_check[h] && start_known[h] ->
     start_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] = true
  :: backup_of[h] != NO_HOST && !requires_uniqueness_check[h] && !start_known[h] ->
     accept_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] = true
  :: backup_of[h] != NO_HOST && !requires_uniqueness_check[h] && !start_known[h] ->
     start_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] = true
  fi
}

inline submit_job(h) {
  role[h] = OWNER;
  owner_of[h] = h;
  backup_of[h] = BACKUP_HOST(VIEW(h), h);
  is_backed_up[h] = false;
  start_known[h] = false;
  requires_uniqueness_check[h] = !was_replica_host[h];
  send_record(h)
}

inline start_task(h) {
  if
  :: !start_known[h] ->
     start_known[h] = true;
     start_count++;
     assert(start_count <= 1)
  :: else
  fi
}

inline forget_job(h) {
  role[h] = NONE;
  owner_of[h] = NO_HOST;
  backup_of[h] = NO_HOST;
  is_backed_up[h] = false;
  start_known[h] = false;
  requires_uniqueness_check[h] = false
}

inline adopt_view(h) {
  known_epoch[h]++;
  was_replica_host[h] = was_replica_host[h] && IS_REPLICA_HOST(VIEW(h), h);
  if
  :: !CONTAINS(VIEW(h), h) -> forget_job(h)
  :: CONTAINS(VIEW(h), h) && role[h] == OWNER ->
     if
     :: backup_of[h] == NO_HOST || !CONTAINS(VIEW(h), backup_of[h]) ->
        backup_of[h] = BACKUP_HOST(VIEW(h), h);
        is_backed_up[h] = false
     :: else
     fi;
     if
     :: requires_uniqueness_check[h] && backup_of[h] == NO_HOST -> forget_job(h)
     :: else -> send_record(h)
     fi
  :: CONTAINS(VIEW(h), h) && role[h] == BACKUP && !CONTAINS(VIEW(h), owner_of[h]) ->
     role[h] = OWNER;
     owner_of[h] = h;
     backup_of[h] = BACKUP_HOST(VIEW(h), h);
     is_backed_up[h] = false;
     send_record(h)
  :: else
  fi
}

#ifdef NO_FENCING
#define ACCEPTS_MESSAGE(h, from, epoch) (epoch <= latest_epoch)
#define MAY_STORE(h, from) true
#else
#define ACCEPTS_MESSAGE(h, from, epoch)                                                          \
  (epoch == known_epoch[h] && CONTAINS(VIEW(h), h) && CONTAINS(VIEW(h), from))
#define MAY_STORE(h, from) (role[h] == NONE || (role[h] == BACKUP && owner_of[h] == from))
#endif

inline store_record(h, from, with_start) {
  if
  :: role[h] == NONE ->
     role[h] = BACKUP;
     owner_of[h] = from;
     start_known[h] = with_start
  :: role[h] == BACKUP -> start_known[h] = start_known[h] || with_start
  :: else
  fi
}

inline receive_record(h, from, epoch) {
  if
  :: accept_sent[RECORD_INDEX(epoch, from, h)] && !accept_acked[RECORD_INDEX(epoch, from, h)] &&
     MAY_STORE(h, from) ->
     store_record(h, from, false);
     accept_acked[RECORD_INDEX(epoch, from, h)] = true
  :: start_sent[RECORD_INDEX(epoch, from, h)] && !start_acked[RECORD_INDEX(epoch, from, h)] &&
     MAY_STORE(h, from) ->
     store_record(h, from, true);
     start_acked[RECORD_INDEX(epoch, from, h)] = true
  :: uniqueness_check_sent[RECORD_INDEX(epoch, from, h)] &&
     !uniqueness_check_acked[RECORD_INDEX(epoch, from, h)] &&
     role[h] == NONE && was_replica_host[h] ->
     store_record(h, from, false);
     uniqueness_check_acked[RECORD_INDEX(epoch, from, h)] = true
  :: else
  fi
}

inline receive_ack(h) {
  if
  :: uniqueness_check_acked[RECORD_INDEX(known_epoch[h], h, backup_of[h])] &&
     requires_uniqueness_check[h] ->
     requires_uniqueness_check[h] = false;
     is_backed_up[h] = true;
     is_accepted = true
  :: accept_acked[RECORD_INDEX(known_epoch[h], h, backup_of[h])] && !is_backed_up[h] &&
     !requires_uniqueness_check[h] && !start_known[h] ->
     is_backed_up[h] = true;
     is_accepted = true
  :: start_acked[RECORD_INDEX(known_epoch[h], h, backup_of[h])] && !requires_uniqueness_check[h] &&
     (!is_backed_up[h] || !start_known[h]) ->
     is_backed_up[h] = true;
     is_accepted = true;
     start_task(h)
  :: else
  fi
}

#define IS_ACTIVE(h) (!crashed[h] && CONTAINS(VIEW(h), h))

proctype Host(byte h) {
  byte from;
  byte epoch;
end:
  do
  /* A submission or resubmission reaches the first host of the view that it knows. */
  :: atomic {
       IS_ACTIVE(h) && role[h] == NONE && FIRST_HOST(VIEW(h)) == h &&
       BACKUP_HOST(VIEW(h), h) != NO_HOST ->
       submit_job(h)
     }
  /* The start record follows the accept record. */
  :: atomic {
       IS_ACTIVE(h) && role[h] == OWNER && !requires_uniqueness_check[h] &&
       backup_of[h] != NO_HOST && !start_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] ->
       start_sent[RECORD_INDEX(known_epoch[h], h, backup_of[h])] = true
     }
  :: atomic {
       IS_ACTIVE(h) && role[h] == OWNER && backup_of[h] != NO_HOST ->
       receive_ack(h);
       check_repair(h)
     }
  /* The only host of a view starts the task of a job that it had accepted before. */
  :: atomic {
       IS_ACTIVE(h) && role[h] == OWNER && backup_of[h] == NO_HOST && !start_known[h] ->
       start_task(h)
     }
  /* The backup knew the id already, or the caller has abandoned the submission. */
  :: atomic { IS_ACTIVE(h) && role[h] == OWNER && requires_uniqueness_check[h] -> forget_job(h) }
  :: atomic {
       !crashed[h] ->
       select(from : 0 .. 2);
#ifdef NO_FENCING
       select(epoch : 1 .. EPOCHS);
#else
       epoch = known_epoch[h];
#endif
       if
       :: from != h && ACCEPTS_MESSAGE(h, from, epoch) -> receive_record(h, from, epoch)
       :: else
       fi;
       from = 0;
       epoch = 0
     }
  :: atomic {
       !crashed[h] && known_epoch[h] < latest_epoch ->
       adopt_view(h);
       check_replica_hosts();
       check_repair(h)
     }
  od
}

inline count_loss(h) {
  if
  :: CONTAINS(view[latest_epoch], h) && !crashed[h] -> losses_since_repair++
  :: else
  fi
}

proctype Environment() {
  byte members;
end:
  do
  :: atomic {
       latest_epoch < EPOCHS ->
       select(members : 1 .. ALL_HOSTS);
       if
       :: (CONTAINS(members, 0) && crashed[0]) || (CONTAINS(members, 1) && crashed[1]) ||
          (CONTAINS(members, 2) && crashed[2])
       :: else ->
          if
          :: !CONTAINS(members, 0) -> count_loss(0)
          :: else
          fi;
          if
          :: !CONTAINS(members, 1) -> count_loss(1)
          :: else
          fi;
          if
          :: !CONTAINS(members, 2) -> count_loss(2)
          :: else
          fi;
          latest_epoch++;
          view[latest_epoch] = members;
          check_replica_hosts()
       fi;
       members = 0
     }
  :: atomic {
       crash_count < CRASHES ->
       crash_count++;
       if
       :: !crashed[0] -> count_loss(0); crashed[0] = true; forget_job(0)
       :: !crashed[1] -> count_loss(1); crashed[1] = true; forget_job(1)
       :: !crashed[2] -> count_loss(2); crashed[2] = true; forget_job(2)
       :: else
       fi;
       check_replica_hosts()
     }
  od
}

init {
  byte h;
  atomic {
    if
    :: view[1] = ALL_HOSTS
    /* Host 0 joins later, although the id prefers it. */
    :: view[1] = WITHOUT(ALL_HOSTS, 0)
    fi;
    for (h : 0 .. 2) {
      known_epoch[h] = 1;
      was_replica_host[h] = IS_REPLICA_HOST(view[1], h);
      owner_of[h] = NO_HOST;
      backup_of[h] = NO_HOST
    }
    run Host(0);
    run Host(1);
    run Host(2);
    run Environment()
  }
}
