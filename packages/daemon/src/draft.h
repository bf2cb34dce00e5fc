/*
 * draft.h: the receiver of a draft's tokens (prefix dr_).
 *
 * A sink receives the tokens of one draft, each index once and in order, then
 * exactly one end. One implementation writes a caller's HTTP answer, another
 * sends to the instance that forwarded the draft.
 *
 * Limits: the sink must not be used after the end.
 */
#ifndef LACEWING_DRAFT_H
#define LACEWING_DRAFT_H

#include "lacewing/error.h"
#include <stdint.h>

/* Whether an engine ran a request, as reported to callers. */
typedef enum dr_ran {
    DR_RAN_DEFAULT = 0, /* not run */
    DR_RAN_NOT_RUN,
    DR_RAN_RAN,
    DR_RAN_UNKNOWN,
    DR_RAN_NUM
} dr_ran;

/* Returns the name used in answers: "not_run", "ran" or "unknown". */
const char *dr_query_ran_name(dr_ran ran);

typedef struct dr_end {
    er_code code; /* ER_OK: the draft is complete */
    dr_ran ran;
    uint32_t tokens;
    uint32_t attempts; /* streams and forwards that this instance started */
    uint32_t retry_after_ms;   /* 0: not stated */
    const char *finish_reason; /* the engine's; may be NULL */
    const char *message;       /* of an error; may be NULL */
    const char *server;        /* backend server that finished it, or NULL */
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
