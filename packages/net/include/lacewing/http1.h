/*
 * http1.h: incremental HTTP/1.1 message reader over http_parser (prefix h1_).
 *
 * An h1_reader takes the bytes of one connection in pieces of any size. It
 * calls back with the complete head and with pieces of the body as they
 * arrive; the state tells when the message is complete. It stops after each
 * message, so that the caller can tell apart the bytes that follow.
 *
 *     h1_reader *reader = h1_create(&(h1_desc){.kind = H1_REQUEST,
 *         .calls = &calls, .user_data = self});
 *     size_t used = h1_feed(reader, bytes, count);
 *     if (h1_query_state(reader) == H1_DONE) { ...; h1_reset(reader); }
 *
 * Messages whose framing RFC 9112 calls ambiguous are errors: two lengths, a
 * length together with chunked coding, a transfer coding other than chunked.
 * So are those that switch to another protocol (Upgrade, CONNECT, status 101),
 * and answers whose status is not one of HTTP, 100 to 599.
 *
 * Limits: at most H1_MAX_HEADERS header lines per message, more are an error;
 * a head is valid until h1_reset().
 */
#ifndef LACEWING_HTTP1_H
#define LACEWING_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Most header lines of a message; h1_head has an array of this size. */
#define H1_MAX_HEADERS 96
/* The head does not state the length of the body. */
#define H1_LENGTH_NONE UINT64_MAX

/* H1_DEFAULT means that no kind was set; h1_create() refuses it. */
typedef enum h1_kind { H1_DEFAULT = 0, H1_REQUEST, H1_RESPONSE } h1_kind;

typedef enum h1_state {
    H1_IDLE = 0,  /* no byte of a message yet */
    H1_HEAD,      /* the head is incomplete */
    H1_BODY,      /* the head is complete, the body is not */
    H1_DONE,      /* message complete; h1_reset() prepares for the next */
    H1_TOO_LARGE, /* the head exceeds its limit of bytes or lines */
    H1_BROKEN     /* not HTTP/1.x, ambiguous, cut short, an upgrade, or an
                     answer without a valid status */
} h1_state;

typedef struct h1_header {
    const char *name; /* NUL-terminated, as sent */
    const char *value;
} h1_header;

typedef struct h1_head {
    const char *method; /* requests */
    const char *target; /* requests: path and query, as sent */
    uint32_t status;    /* responses */
    uint32_t minor;     /* minor version: 1 for HTTP/1.1 */
    bool keep_alive;    /* the sender keeps the connection open */
    bool chunked;
    uint64_t length; /* of the body in bytes, or H1_LENGTH_NONE */
    uint32_t header_count;
    h1_header headers[H1_MAX_HEADERS];
} h1_head;

typedef struct h1_callbacks {
    /* The head is complete. Returns true when no body follows, whatever the
       head says. */
    bool (*head)(const h1_head *head, void *user_data);
    void (*body)(const char *bytes, size_t count, void *user_data);
} h1_callbacks;

typedef struct h1_desc {
    h1_kind kind;              /* required */
    uint32_t head_bytes;       /* size limit of a head; default 65536 */
    const h1_callbacks *calls; /* required */
    void *user_data;
} h1_desc;

typedef struct h1_reader h1_reader;

h1_reader *h1_create(const h1_desc *desc);
void h1_destroy(h1_reader *reader);

/* Consumes bytes up to the end of a message; returns how many. */
size_t h1_feed(h1_reader *reader, const char *bytes, size_t count);
/* The peer closed the connection in order: completes a body without stated
   length; any other unfinished body becomes H1_BROKEN. */
void h1_feed_end(h1_reader *reader);
/* Prepares for the next message. */
void h1_reset(h1_reader *reader);
/* Sets the size limit of a head; 0: the default. */
void h1_set_head_limit(h1_reader *reader, uint32_t head_bytes);

/* queries */
h1_state h1_query_state(const h1_reader *reader);
/* Valid once the head is complete. */
const h1_head *h1_query_head(const h1_reader *reader);
/* Returns the value of the first header with this name, ignoring case, or NULL
   if there is none. */
const char *h1_query_header(const h1_head *head, const char *name);
/* Whether a header concerns one connection only: a fixed set, and those that
   the Connection header lists. */
bool h1_query_hop_by_hop(const h1_head *head, const char *name);
/* Reason phrase of a status; "Status" for unknown ones. */
const char *h1_query_reason(uint32_t status);

#endif
