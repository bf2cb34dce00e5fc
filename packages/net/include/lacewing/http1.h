/*
 * http1.h: HTTP/1.1 messages, read by http_parser (prefix h1_).
 *
 * An h1_reader takes the bytes of one connection in any pieces and calls back
 * with the head, with pieces of the body as they come and at the end of the
 * message. It stops behind each message, so that bytes behind it can be told
 * from it.
 *
 *     h1_reader *reader = h1_create(&(h1_desc){.kind = H1_REQUEST,
 *         .calls = &calls, .user_data = self});
 *     size_t used = h1_feed(reader, bytes, count);
 *     if (h1_query_state(reader) == H1_DONE) { ...; h1_reset(reader); }
 *
 * What RFC 9112 calls ambiguous is an error: two lengths, a length beside
 * chunks, a coding other than chunked.
 *
 * Limits: H1_HEADERS header lines a message, more are an error; a head is
 * valid until h1_reset().
 */
#ifndef LACEWING_HTTP1_H
#define LACEWING_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define H1_HEADERS 96
/* Body length that is not told by the head. */
#define H1_LENGTH_NONE UINT64_MAX

typedef enum h1_kind { H1_DEFAULT = 0, H1_REQUEST, H1_RESPONSE } h1_kind;

typedef enum h1_state {
    H1_IDLE = 0, /* no byte of a message yet */
    H1_HEAD,
    H1_BODY,
    H1_DONE,      /* message complete; h1_reset() goes on */
    H1_TOO_LARGE, /* the head is over its limit */
    H1_BROKEN     /* not HTTP/1.1, or ambiguous */
} h1_state;

typedef struct h1_header {
    const char *name; /* NUL-terminated, as sent */
    const char *value;
} h1_header;

typedef struct h1_head {
    const char *method; /* requests */
    const char *target; /* requests: path and query, as sent */
    uint32_t status;    /* responses */
    uint32_t minor;     /* HTTP/1.minor */
    bool keep_alive;    /* the sender keeps the connection */
    bool chunked;
    uint64_t length; /* of the body; H1_LENGTH_NONE */
    uint32_t header_count;
    h1_header headers[H1_HEADERS];
} h1_head;

typedef struct h1_calls {
    /* The head is complete; true: no body follows whatever the head says. */
    bool (*head)(const h1_head *head, void *user_data);
    void (*body)(const char *bytes, size_t count, void *user_data);
} h1_calls;

typedef struct h1_desc {
    h1_kind kind;        /* required */
    uint32_t head_bytes; /* largest head; default 65536 */
    const h1_calls *calls;
    void *user_data;
} h1_desc;

typedef struct h1_reader h1_reader;

h1_reader *h1_create(const h1_desc *desc);
void h1_destroy(h1_reader *reader);

/* Takes bytes up to the end of a message; returns how many were used. */
size_t h1_feed(h1_reader *reader, const char *bytes, size_t count);
/* The connection has ended in order; a body without length is complete. */
void h1_feed_end(h1_reader *reader);
void h1_reset(h1_reader *reader);
void h1_set_head_limit(h1_reader *reader, uint32_t head_bytes);

/* queries */
h1_state h1_query_state(const h1_reader *reader);
const h1_head *h1_query_head(const h1_reader *reader);
/* First header of a name, whatever its case; NULL: none. */
const char *h1_query_header(const h1_head *head, const char *name);
/* Headers that concern one connection only, and what Connection names. */
bool h1_query_hop_by_hop(const h1_head *head, const char *name);
const char *h1_query_reason(uint32_t status);

#endif
