/*
 * members.h: the other instances and the links to them (prefix mm_).
 *
 * Drives membership (mb_) over the links (pe_): heartbeats go out and come
 * in, the platform's list is polled, dead peers' links are dropped. Messages
 * that are not heartbeats are handed on.
 *
 *     mm_members *members = mm_create(&(mm_desc){...}, &status);
 *     mm_send(members, "b", &envelope);
 *
 * Limits: one main context.
 */
#ifndef LACEWING_MEMBERS_H
#define LACEWING_MEMBERS_H

#include "lacewing/membership.h"
#include "peers.h"
#include "wakeup.h"

typedef struct mm_members mm_members;

typedef struct mm_out {
    void (*message)(const pe_peer *peer, const Lacewing__Envelope *envelope,
                    void *user_data);
    void (*lost)(const char *instance, void *user_data);
    /* MB_ACTION_PEER_CHANGED, MB_ACTION_SEND (before it is sent),
       MB_ACTION_HEARTBEAT_RECEIVED, MB_ACTION_HEARTBEAT_ACKED and
       MB_ACTION_SERVER_LEAVING as they come. */
    void (*notice)(const mb_action *action, void *user_data);
    /* The platform's list, also when it could not be read. */
    void (*listed)(const pf_instances_result *result, void *user_data);
    /* An instance is no longer in the platform's list. */
    void (*unlisted)(const char *instance, void *user_data);
} mm_out;

typedef struct mm_desc {
    tm_service *timers;
    pf_instances *instances;
    const char *instance;
    const char *zone;
    const char *address;
    const char *secret;
    uint64_t incarnation;
    const char *const *seeds; /* instances at start: NAME@ZONE@IP:PORT */
    tl_context *tls;
    uint32_t list_period_ms; /* default 2000 */
    const mm_out *out;
    void *user_data;
} mm_desc;

mm_members *mm_create(const mm_desc *desc, er_status *status);
void mm_destroy(mm_members *members);
void mm_set_state(mm_members *members, co_peer_state state);
void mm_set_incarnation(mm_members *members, uint64_t incarnation);
void mm_set_config_version(mm_members *members, uint64_t version);
/* No heartbeat of this incarnation is acknowledged any more. May be called
   from inside a notice. */
void mm_refuse(mm_members *members, const char *instance,
               uint64_t incarnation);
void mm_take_server_leaving(mm_members *members, const char *server);

/* False: no link now. */
bool mm_send(mm_members *members, const char *instance,
             const Lacewing__Envelope *envelope);
void mm_broadcast(mm_members *members, const Lacewing__Envelope *envelope);

/* queries */
const mb_machine *mm_query_machine(const mm_members *members);
pe_peers *mm_query_peers(const mm_members *members);

#endif
