/*
 * config_task.h: the configuration in force at this instance (prefix cf_).
 *
 * Drives the chain of changes (cc_), folds each change into the checked
 * configuration (dc_) and tells the daemon when a new version is in force.
 *
 *     cf_task *config = cf_create(&(cf_desc){.timers = timers,
 *         .table = calls, .objects = objects, .instance = "a",
 *         .out = &out, .user_data = self});
 *     const dc_config *now = cf_query_config(config);
 *
 * Limits: a change that cannot be folded in (only possible when another
 * program wrote it) is logged and skipped; its version still counts, the same
 * on every instance.
 */
#ifndef LACEWING_CONFIG_TASK_H
#define LACEWING_CONFIG_TASK_H

#include "lacewing/chain.h"
#include "lacewing/config.h"
#include "table_calls.h"
#include "wakeup.h"

typedef struct cf_task cf_task;

typedef struct cf_out {
    /* A version is in force. previous is NULL for the first. */
    void (*changed)(const dc_config *config, const dc_config *previous,
                    uint64_t version, void *user_data);
    /* Ask an instance for changes from a version on. */
    void (*fetch)(const char *instance, uint64_t version, void *user_data);
    /* Send a text to an instance. */
    void (*send_text)(const char *instance, uint64_t version, bool snapshot,
                      const char *text, void *user_data);
} cf_out;

typedef struct cf_desc {
    tm_service *timers;   /* required */
    tb_table *table;      /* required */
    pf_objects *objects;  /* required */
    const char *instance; /* required */
    const cf_out *out;    /* required */
    void *user_data;
} cf_desc;

/* What became of a submitted change: see CC_ACTION_SUBMIT_RESULT. */
typedef void (*cf_submitted_call)(er_code code, uint64_t version,
                                  const char *text, const char *who,
                                  void *user_data);

cf_task *cf_create(const cf_desc *desc);
void cf_destroy(cf_task *task);
/* Feeds what peers say; see cc_event. */
void cf_feed(cf_task *task, const cc_event *event);
/* desc->tag is not used. */
er_code cf_submit(cf_task *task, const cc_submit_desc *desc,
                  cf_submitted_call call, void *user_data);

/* queries */
/* NULL before the first version. */
const dc_config *cf_query_config(const cf_task *task);
uint64_t cf_query_version(const cf_task *task);
bool cf_query_ready(const cf_task *task);
const cc_machine *cf_query_chain(const cf_task *task);

#endif
