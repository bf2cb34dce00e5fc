/*
 * support.h: parts shared by the machines of this package (prefix _co_).
 *
 * An outbox keeps a machine's actions in order, each with the strings and
 * the table call that it points to; they live until the next pop. A call is
 * a table call being put together. A name set hands out hashes for placement.
 */
#ifndef LACEWING_CONTROL_SUPPORT_H
#define LACEWING_CONTROL_SUPPORT_H

#include "lacewing/control.h"
#include <glib.h>

#define _CO_US_PER_MS UINT64_C(1000)

/* -- private: values ------------------------------------------------------ */

static inline uint32_t
_co_or(uint32_t value, uint32_t fallback)
{
    return value ? value : fallback;
}

static inline uint64_t
_co_us(uint32_t value_ms)
{
    return value_ms * _CO_US_PER_MS;
}

/* a + b, or UINT64_MAX when that does not fit. */
static inline uint64_t
_co_add_us(uint64_t a, uint64_t b)
{
    return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

/* The first 64 bits of a digest of two strings and a number. */
uint64_t _co_hash(const char *a, const char *b, uint64_t number);
/* value +/- jitter_pct %, at random. */
uint64_t _co_jitter_us(GRand *rand, uint64_t value_us, uint32_t jitter_pct);
/* Copies a row's value as a string; free with g_free(). NULL for none. */
char *_co_row_text(const pf_row *row);
/* True when the result is an answer of the table, whatever it says. */
bool _co_answered(er_code code);

/* -- private: table calls ------------------------------------------------- */

typedef struct _co_call _co_call;

_co_call *_co_commit_new(uint64_t number);
/* value NULL: delete. */
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
void _co_outbox_free(_co_outbox *box);
/* Appends a zeroed action and returns it for filling in. */
void *_co_outbox_push(_co_outbox *box);
/* Copies a string for the action pushed last; NULL stays NULL. */
const char *_co_outbox_text(_co_outbox *box, const char *text);
/* Gives memory from g_malloc() to the action pushed last. */
void _co_outbox_keep(_co_outbox *box, void *memory);
/* Gives a call to the action pushed last. */
const co_table_call *_co_outbox_call(_co_outbox *box, _co_call *call);
bool _co_outbox_pop(_co_outbox *box, void *action);
uint32_t _co_outbox_count(const _co_outbox *box);

#endif
