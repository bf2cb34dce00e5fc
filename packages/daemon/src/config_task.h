/*
 * config_task.h: the active configuration of this instance (prefix cf_).
 *
 * Runs the state machine that replicates the chain of changes (cc_), applies
 * each change to the validated configuration (dc_) and reports each version
 * that becomes active.
 *
 *     cf_task *config = cf_create(&(cf_desc){.timers = timers,
 *         .table = calls, .objects = objects, .instance = "a",
 *         .callbacks = &callbacks, .user_data = self});
 *     const dc_config *now = cf_query_config(config);
 *
 * Limits: a change that cannot be applied (only possible if another program
 * wrote it) is logged and skipped. Its version number is still used up, in the
 * same way on every instance.
 */
#ifndef LACEWING_CONFIG_TASK_H
#define LACEWING_CONFIG_TASK_H

#include "lacewing/chain.h"
#include "lacewing/config.h"
#include "table_calls.h"
#include "wakeup.h"

typedef struct cf_task cf_task;

typedef struct cf_callbacks {
    /* A version became active. previous is NULL for the first one. */
    void (*changed)(const dc_config *config, const dc_config *previous,
                    uint64_t version, void *user_data);
    /* Asks an instance for the changes from a version on. */
    void (*send_fetch)(const char *instance, uint64_t version,
                       void *user_data);
    /* Sends the text of a change, or of a whole configuration (snapshot),
       to an instance. */
    void (*send_text)(const char *instance, uint64_t version, bool snapshot,
                      const char *text, void *user_data);
} cf_callbacks;

typedef struct cf_desc {
    tm_service *timers;            /* required */
    tb_table *table;               /* required */
    pf_objects *objects;           /* required */
    const char *instance;          /* required */
    const cf_callbacks *callbacks; /* required */
    void *user_data;
} cf_desc;

/* Reports the outcome of a submitted change; see CC_ACTION_SUBMIT_RESULT. */
typedef void (*cf_submitted_call)(er_code code, uint64_t version,
                                  const char *text, const char *who,
                                  void *user_data);

cf_task *cf_create(const cf_desc *desc);
void cf_destroy(cf_task *task);
/* Feeds an event, such as a message of a peer, to the chain. */
void cf_feed(cf_task *task, const cc_event *event);
/* Submits a change. desc->tag is ignored. call is called with the outcome if
   this returns ER_OK, and not at all otherwise. */
er_code cf_submit(cf_task *task, const cc_submit_desc *desc,
                  cf_submitted_call call, void *user_data);

/* queries */
/* Returns NULL before the first version. */
const dc_config *cf_query_config(const cf_task *task);
uint64_t cf_query_version(const cf_task *task);
bool cf_query_ready(const cf_task *task);
const cc_machine *cf_query_chain(const cf_task *task);

#endif
