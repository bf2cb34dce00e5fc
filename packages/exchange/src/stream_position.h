/*
 * stream_position.h: which events of a resumable stream its caller has (prefix
 * sp_).
 *
 * An sp_position belongs to one request. It begins with the event that the
 * caller has from an earlier connection, cuts the bytes of each send into
 * whole events, and passes those on that the caller does not have. Every send
 * asks its server to go on after sp_query_last_id(), the first one included,
 * so that it makes no difference by which connection or send the caller got
 * its events.
 *
 *     sp_position *position = sp_create(&(sp_desc){
 *         .caller_event_id = id, .calls = &calls, .user_data = self});
 *     sp_begin_send(position);        before each send
 *     sp_feed(position, bytes, count);
 *     sp_end(position);               if the answer is complete
 *
 * This serves servers that fail under streams, and callers that come back
 * after a lost connection.
 *
 * Event ids are numbers that grow. Other events are passed on as they are, but
 * the stream cannot go on at another server after them.
 *
 * Limits: an event has at most SP_MAX_EVENT_BYTES; no sockets and no clock.
 */
#ifndef LACEWING_STREAM_POSITION_H
#define LACEWING_STREAM_POSITION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest event; it is buffered until it is whole. Events of the platform have
   about 50 bytes. */
#define SP_MAX_EVENT_BYTES (256 * 1024)

typedef struct sp_position sp_position;

/* Valid only during the callback. */
typedef struct sp_event {
    const char *bytes;
    size_t count;
    const char *id;  /* NULL: it has none */
    uint32_t number; /* of the current send, from 1 */
    bool repeated;   /* the caller has it; it must not be passed on */
} sp_event;

typedef struct sp_callbacks {
    void (*event)(const sp_event *event, void *user_data);
} sp_callbacks;

typedef struct sp_desc {
    /* Last event that the caller had before this request; NULL: none. */
    const char *caller_event_id;
    const sp_callbacks *calls; /* required */
    void *user_data;
} sp_desc;

sp_position *sp_create(const sp_desc *desc);
void sp_destroy(sp_position *position);

/* A new send begins, after sp_query_last_id(); drops what is left of an event
   of the send before. */
void sp_begin_send(sp_position *position);
/* Calls back with each event that is whole. Returns false if the event that is
   not is too long. */
bool sp_feed(sp_position *position, const char *bytes, size_t count);
/* The answer is complete: passes on what is left, of a body that does not
   consist of events. */
void sp_end(sp_position *position);

/* queries */
/* Returns the id of the last event that the caller has, or NULL if the stream
   is to be sent from its beginning. */
const char *sp_query_last_id(const sp_position *position);
/* Returns whether a further send can go on after sp_query_last_id() without a
   gap or a repetition: not if the caller has events after it that have data
   but no number as id, nor if ids did not grow. */
bool sp_query_can_continue(const sp_position *position);
/* Returns the number of whole events of the current send. */
uint32_t sp_query_event_count(const sp_position *position);
/* Returns how many bytes were searched or moved for all sends so far; it grows
   linearly with the bytes fed, however these are cut into pieces. */
uint64_t sp_query_work_bytes(const sp_position *position);

#endif
