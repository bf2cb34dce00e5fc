/*
 * support.h: helpers shared by the machines of this package (prefix _co_).
 *
 * An outbox is a queue of a machine's actions, each with the strings and the
 * table call that it points to; these live until the next pop. A _co_call is
 * a table call that is being built and owns its keys and values.
 */
#ifndef LACEWING_CONTROL_SUPPORT_H
#define LACEWING_CONTROL_SUPPORT_H

#include "lacewing/control.h"
#include <glib.h>

#define _CO_US_PER_MS UINT64_C(1000)

/* -- private: values ------------------------------------------------------ */

static inline uint32_t
_co_or_default(uint32_t value, uint32_t fallback)
{
    return value ? value : fallback;
}

static inline uint64_t
_co_ms_to_us(uint32_t value_ms)
{
    return value_ms * _CO_US_PER_MS;
}

/* Returns a + b, or UINT64_MAX on overflow. */
static inline uint64_t
_co_add_us(uint64_t a, uint64_t b)
{
    return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

/* Returns the first 64 bits of the MD5 digest of two strings and a number.
   All daemons compute the same value, as they derive common orders from it; it
   is no protection against forgery. */
uint64_t _co_hash(const char *a, const char *b, uint64_t number);
/* Returns a random value within jitter_pct percent of value_us. */
uint64_t _co_jitter_us(GRand *rand, uint64_t value_us, uint32_t jitter_pct);
/* Returns a copy of a row's value as a string, or NULL when the row does not
   exist; free with g_free(). */
char *_co_row_text(const pf_row *row);
/* Returns true when the code is an answer of the table: success or a
   conflict. */
bool _co_is_table_answer(er_code code);

/* -- private: table calls ------------------------------------------------- */

typedef struct _co_call _co_call;

_co_call *_co_commit_new(uint64_t number);
/* Adds an operation on one row; value NULL deletes the row. */
void _co_commit_add(_co_call *call, const char *key, uint64_t expect,
                    const char *value);
size_t _co_commit_count(const _co_call *call);
_co_call *_co_read_new(uint64_t number, const char *key);
_co_call *_co_scan_new(uint64_t number, const char *prefix, const char *after,
                       uint32_t limit);
void _co_call_free(_co_call *call);

/* -- private: outbox ------------------------------------------------------ */

typedef struct _co_outbox _co_outbox;

_co_outbox *_co_outbox_new(size_t action_bytes);
void _co_outbox_free(_co_outbox *outbox);
/* Appends a zeroed action and returns it for filling in. */
void *_co_outbox_push(_co_outbox *outbox);
/* Returns a copy of a string that lives as long as the action pushed last;
   NULL stays NULL. */
const char *_co_outbox_copy_text(_co_outbox *outbox, const char *text);
/* Passes ownership of memory from g_malloc() to the action pushed last. */
void _co_outbox_take_memory(_co_outbox *outbox, void *memory);
/* Passes ownership of a call to the action pushed last; returns what that
   action's table field is to be set to. */
const co_table_call *_co_outbox_take_call(_co_outbox *outbox, _co_call *call);
bool _co_outbox_pop(_co_outbox *outbox, void *action);
uint32_t _co_outbox_count(const _co_outbox *outbox);

#endif
