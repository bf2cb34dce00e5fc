/*
 * membership_internal.h: state of the membership machine, shared by its
 * files.
 *
 *   membership.c        life, commands, queries
 *   membership_event.c  heartbeats, samples and the platform's list
 *   membership_peer.c   what is known of one peer, and when it is dead
 *   membership_send.c   whom heartbeats go to, and what they carry
 */
#ifndef LACEWING_MEMBERSHIP_INTERNAL_H
#define LACEWING_MEMBERSHIP_INTERNAL_H

#include "lacewing/membership.h"
#include "support.h"

#define _MB_WORK_US UINT64_C(50000)     /* between looks at all peers */
#define _MB_PROBE_US UINT64_C(2000000)  /* between heartbeats to the dead */
#define _MB_PAUSE_US UINT64_C(300000)   /* a look this late: we were paused */
#define _MB_SENT_RING 32                /* heartbeats whose times are kept */
#define _MB_NEWS_US UINT64_C(5000000)   /* a change of state goes first */
#define _MB_REFUTE_US UINT64_C(1000000) /* between words that we live */
/* Heartbeats that a daemon sends in some seconds: within this, words of
   different peers about its sequence are of the same time. */
#define _MB_SLACK 100

typedef struct _mb_peer {
    char *instance;
    char *zone;
    char *address;
    uint64_t incarnation;    /* 0: not heard of yet */
    uint64_t refused;        /* this and older incarnations get no ack */
    uint64_t sequence;       /* newest known, by itself or by samples */
    uint64_t heard_sequence; /* newest by itself */
    uint64_t config_version;
    co_peer_state state;
    co_peer_state told; /* as the last MB_ACTION_PEER said */
    uint64_t told_incarnation;
    bool near;   /* of our zone */
    bool listed; /* in the platform's list */
    bool listed_leaving;
    bool direct;             /* this incarnation sent us a heartbeat */
    bool linked;             /* heartbeats go to it */
    bool watched;            /* it was asked to watch, and may still */
    uint64_t watch_sequence; /* newest heartbeat that asked it */
    uint64_t evidence_us;    /* when it was last known to live */
    uint64_t heard_us;       /* when its own heartbeat last came */
    uint64_t asked_us;       /* when one came that was no answer */
    uint64_t news_us;        /* heartbeats carry its change first until then */
    uint64_t dead_us;        /* when it was found dead */
    uint64_t send_us;        /* next heartbeat to it */
    GHashTable *named;       /* leaving server -> times named to it */
    struct {
        uint64_t sequence;
        uint64_t sent_us;
    } sent[_MB_SENT_RING];
} _mb_peer;

struct mb_machine {
    mb_desc desc; /* resolved; strings owned */
    _co_outbox *out;
    GRand *rand;
    GHashTable *peers;  /* instance -> _mb_peer */
    GPtrArray *order;   /* of peers, for samples; not owned */
    GPtrArray *leaving; /* names of leaving servers */
    GHashTable *leaving_set;
    uint64_t incarnation;
    uint64_t sequence;
    uint64_t config_version;
    co_peer_state state;
    uint64_t refuted_us; /* when we last said that we live */
    uint32_t sample_cursor;
    uint64_t work_us;
    bool links_stale; /* who is linked must be worked out again */
};

/* membership_event.c */
er_code _mb_take_heartbeat(mb_machine *mb, uint64_t now_us,
                           const mb_event *event);
er_code _mb_take_listed(mb_machine *mb, uint64_t now_us,
                        const mb_event *event);
void _mb_take_unlisted(mb_machine *mb, const char *instance);
void _mb_take_refused(mb_machine *mb, const mb_event *event);
void _mb_note_leaving_server(mb_machine *mb, uint64_t now_us,
                             const char *server);

/* membership_peer.c */
_mb_peer *_mb_peer_find(const mb_machine *mb, const char *instance);
/* NULL when the pool is full or the name is our own. */
_mb_peer *_mb_peer_make(mb_machine *mb, uint64_t now_us, const char *instance,
                        const char *zone, const char *address);
void _mb_peer_free(void *peer);
void _mb_peer_set_address(mb_machine *mb, _mb_peer *peer, const char *zone,
                          const char *address);
/* A life that is newer than the known one. */
void _mb_peer_set_incarnation(mb_machine *mb, _mb_peer *peer,
                              uint64_t incarnation);
void _mb_peer_set_state(mb_machine *mb, _mb_peer *peer, co_peer_state state,
                        uint64_t now_us);
/* Says what has changed since it was last said. */
void _mb_peer_tell(mb_machine *mb, _mb_peer *peer);
void _mb_peer_age(mb_machine *mb, _mb_peer *peer, uint64_t now_us);
bool _mb_peer_alive(const _mb_peer *peer);

/* membership_send.c */
void _mb_links_work_out(mb_machine *mb, uint64_t now_us);
void _mb_send_due(mb_machine *mb, uint64_t now_us);
/* All linked peers get a heartbeat now. */
void _mb_send_soon(mb_machine *mb, uint64_t now_us);

#endif
