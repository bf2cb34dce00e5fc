/*
 * membership_internal.h: state of the membership machine, shared by its
 * files.
 *
 *   membership.c        creation, commands, queries
 *   membership_event.c  heartbeats, samples and the platform's list
 *   membership_peer.c   state of one peer and its time-outs
 *   membership_send.c   links, and contents and times of heartbeats
 */
#ifndef LACEWING_MEMBERSHIP_INTERNAL_H
#define LACEWING_MEMBERSHIP_INTERNAL_H

#include "lacewing/membership.h"
#include "support.h"

#define _MB_WORK_PERIOD_US UINT64_C(50000) /* between checks of all peers */
/* Between heartbeats to a dead peer or one not heard of yet. */
#define _MB_DEAD_PROBE_PERIOD_US UINT64_C(2000000)
/* A check this late means that this process itself was paused. */
#define _MB_OWN_PAUSE_MIN_US UINT64_C(300000)
#define _MB_SENT_TIMES 32 /* heartbeats whose send times are kept */
/* How long a change of state takes precedence in samples. */
#define _MB_RECENT_CHANGE_US UINT64_C(5000000)
/* Minimum time between refutations of our reported death. */
#define _MB_REFUTE_INTERVAL_US UINT64_C(1000000)
/* Reports of a peer's sequence that differ by no more than this count as made
   at the same time. With the defaults a daemon sends 24 heartbeats a second
   within its zone, so this is about 4 s. */
#define _MB_SEQUENCE_SLACK 100

typedef struct _mb_peer {
    char *instance;
    char *zone;
    char *address;
    uint64_t incarnation;         /* 0: not heard of yet */
    uint64_t refused_incarnation; /* this and older ones get no ack */
    uint64_t sequence;            /* newest known, directly or by samples */
    uint64_t direct_sequence;     /* of its newest heartbeat to us */
    uint64_t config_version;
    co_peer_state state;
    co_peer_state reported_state; /* in the last MB_ACTION_PEER_CHANGED */
    uint64_t reported_incarnation;
    bool same_zone; /* as ours */
    bool listed;    /* in the platform's list */
    bool listed_leaving;
    bool heard_directly;          /* this incarnation sent us a heartbeat */
    bool linked;                  /* our plan of links includes it */
    bool may_watch_us;            /* asked to watch, release not yet acked */
    uint64_t watch_sequence;      /* newest heartbeat that asked it to watch */
    uint64_t last_alive_us;       /* last sign of life, direct or by samples */
    uint64_t last_direct_us;      /* when its last heartbeat was received */
    uint64_t last_unsolicited_us; /* when the last non-answer was received */
    uint64_t recent_until_us;     /* its change goes first in samples */
    uint64_t dead_us;             /* last change of state to or from dead */
    uint64_t next_send_us;        /* when the next heartbeat to it is due */
    /* Leaving server -> heartbeats to this peer that named it. */
    GHashTable *leaving_sent_counts;
    struct {
        uint64_t sequence;
        uint64_t sent_us;
    } sent[_MB_SENT_TIMES]; /* ring, indexed by sequence */
} _mb_peer;

struct mb_machine {
    mb_desc desc; /* defaults filled in; strings owned */
    _co_outbox *outbox;
    GRand *rand;
    GHashTable *peers;          /* instance -> _mb_peer */
    GPtrArray *peer_list;       /* the same peers, to iterate; not owned */
    GPtrArray *leaving_servers; /* names, oldest first */
    GHashTable *leaving_set;    /* the same names; not owned */
    uint64_t incarnation;
    uint64_t sequence;
    uint64_t config_version;
    co_peer_state state;
    uint64_t last_refuted_us; /* when we last refuted our reported death */
    uint32_t sample_cursor;   /* next peer of peer_list for a sample */
    uint64_t next_work_us;
    bool links_stale; /* the links must be computed again */
};

/* membership_event.c */
er_code _mb_on_heartbeat(mb_machine *mb, uint64_t now_us,
                         const mb_event *event);
er_code _mb_on_listed(mb_machine *mb, uint64_t now_us, const mb_event *event);
void _mb_on_unlisted(mb_machine *mb, const char *instance);
void _mb_on_refuse_acks(mb_machine *mb, const mb_event *event);
/* Records a leaving server and reports it; does nothing if it is known. */
void _mb_add_leaving_server(mb_machine *mb, uint64_t now_us,
                            const char *server);

/* membership_peer.c */
_mb_peer *_mb_peer_find(const mb_machine *mb, const char *instance);
/* Returns NULL at peer_capacity or when the name is our own. */
_mb_peer *_mb_peer_add(mb_machine *mb, uint64_t now_us, const char *instance,
                       const char *zone, const char *address);
void _mb_peer_free(void *peer);
void _mb_peer_set_address(mb_machine *mb, _mb_peer *peer, const char *zone,
                          const char *address);
/* Starts a newer incarnation: resets all that was known of the old one. */
void _mb_peer_set_incarnation(mb_machine *mb, _mb_peer *peer,
                              uint64_t incarnation);
void _mb_peer_set_state(mb_machine *mb, _mb_peer *peer, co_peer_state state,
                        uint64_t now_us);
/* Emits MB_ACTION_PEER_CHANGED when the state or incarnation differs from the
   last one reported. */
void _mb_peer_report(mb_machine *mb, _mb_peer *peer);
/* Makes a silent peer suspect or dead. */
void _mb_peer_check_timeouts(mb_machine *mb, _mb_peer *peer, uint64_t now_us);
/* Returns true when an incarnation is known and it is not dead. */
bool _mb_peer_alive(const _mb_peer *peer);

/* membership_send.c */
/* Computes which peers are linked, if that may have changed. */
void _mb_update_links(mb_machine *mb, uint64_t now_us);
/* Sends the heartbeats that are due. */
void _mb_send_due(mb_machine *mb, uint64_t now_us);
/* Makes a heartbeat to each linked peer due now. */
void _mb_schedule_send_to_linked(mb_machine *mb, uint64_t now_us);

#endif
