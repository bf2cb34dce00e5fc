/*
 * draft.h: where a draft's tokens go (prefix dr_).
 *
 * A sink takes the tokens of one draft, each index once and in order, then
 * exactly one end. A caller's HTTP answer is one kind; a link to the instance
 * that forwarded the draft is the other.
 *
 * Limits: after the end the sink must not be used again.
 */
#ifndef LACEWING_DRAFT_H
#define LACEWING_DRAFT_H

#include "lacewing/error.h"
#include <stdint.h>

/* How far a request was run, as callers are told. */
typedef enum dr_ran {
    DR_RAN_DEFAULT = 0, /* not run */
    DR_RAN_NOT_RUN,
    DR_RAN_RAN,
    DR_RAN_UNKNOWN,
    DR_RAN_NUM
} dr_ran;

/* Wire name: "not_run", "ran" or "unknown". */
const char *dr_query_ran_name(dr_ran ran);

typedef struct dr_end {
    er_code code; /* ER_OK: whole */
    dr_ran ran;
    uint32_t tokens;
    uint32_t attempts; /* sends and forwards by this instance */
    uint32_t retry_after_ms;
    const char *finish_reason;
    const char *message;
    const char *server; /* name of the backend server that finished it */
} dr_end;

typedef struct dr_sink dr_sink;

typedef struct dr_sink_vt {
    void (*token)(dr_sink *sink, uint32_t index, const char *text);
    void (*end)(dr_sink *sink, const dr_end *end);
} dr_sink_vt;

struct dr_sink {
    const dr_sink_vt *vt;
};

#endif
