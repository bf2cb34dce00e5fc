/*
 * members.h: the other instances and the links to them (prefix mm_).
 *
 * Runs the membership state machine (mb_) over the links (pe_): sends and
 * receives heartbeats, polls the platform's list of instances, and closes the
 * links of suspect and dead peers. Passes on all other messages.
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

typedef struct mm_callbacks {
    /* A message other than a heartbeat has arrived. */
    void (*message)(const pe_peer *peer, const Lacewing__Envelope *envelope,
                    void *user_data);
    /* The link to the instance has ended; see pe_lost_call in peers.h. */
    void (*link_lost)(const char *instance, void *user_data);
    /* Every action of the membership machine, before it is carried out
       (MB_ACTION_SEND: before the heartbeat is sent). */
    void (*membership_action)(const mb_action *action, void *user_data);
    /* The platform's list was polled; see result->code for a failure. */
    void (*instances_listed)(const pf_instances_result *result,
                             void *user_data);
    /* An instance has disappeared from the platform's list. */
    void (*instance_unlisted)(const char *instance, void *user_data);
} mm_callbacks;

typedef struct mm_desc {
    tm_service *timers;
    pf_instances *instances;
    const char *instance;
    const char *zone;
    const char *address;
    const char *secret;       /* see pe_desc */
    uint64_t incarnation;     /* of this instance */
    const char *const *seeds; /* instances to contact at start:
                                 NAME@ZONE@IP:PORT */
    tl_context *tls;          /* for the links; NULL: plain TCP */
    uint32_t list_period_ms;  /* between polls of the platform's list;
                                 default 2000 */
    const mm_callbacks *callbacks;
    void *user_data;
} mm_desc;

mm_members *mm_create(const mm_desc *desc, er_status *status);
void mm_destroy(mm_members *members);
/* Set what later heartbeats announce: the state of this instance, its
   incarnation and the version of its configuration. */
void mm_set_state(mm_members *members, co_peer_state state);
void mm_set_incarnation(mm_members *members, uint64_t incarnation);
void mm_set_config_version(mm_members *members, uint64_t version);
/* Stops acknowledging heartbeats of this incarnation. May be called from
   inside mm_callbacks.membership_action. */
void mm_stop_acknowledging(mm_members *members, const char *instance,
                           uint64_t incarnation);
/* Tells the peers, in heartbeats, that a backend server is leaving. */
void mm_announce_server_leaving(mm_members *members, const char *server);

/* Returns false if there is no link now; one is then dialled if the address is
   known. */
bool mm_send(mm_members *members, const char *instance,
             const Lacewing__Envelope *envelope);
/* Sends to every linked instance. */
void mm_broadcast(mm_members *members, const Lacewing__Envelope *envelope);

/* queries */
const mb_machine *mm_query_machine(const mm_members *members);
pe_peers *mm_query_peers(const mm_members *members);

#endif
