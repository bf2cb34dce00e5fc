/*
 * load_answer.h: an incremental parser of the answer to one request
 * (prefix la_).
 *
 * Accepts the bytes of an answer in pieces of any size, from a daemon or a
 * stand-in: the events of a stream, a draft in one body, the answer of a
 * service, or an error.
 *
 *     la_answer answer;
 *     la_setup(&answer);
 *     la_begin(&answer, 200, true, true);
 *     la_feed(&answer, bytes, size);
 *     la_end(&answer);
 *     bool complete = la_query_is_complete(&answer);
 *     la_clear(&answer);
 *
 * The stream of a draft is complete once "data: [DONE]" (daemon) or an event
 * with "done" (engine) has arrived, never by the end of the connection alone.
 */
#ifndef LACEWING_STANDIN_LOAD_ANSWER_H
#define LACEWING_STANDIN_LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define LA_NAME_BYTES 64

typedef struct la_answer {
    uint32_t status; /* HTTP */
    bool events;     /* the body is a stream of events */
    bool draft;      /* the answer to a draft, else to a call of a service */
    bool cut_off;    /* set by the user: the connection ended early */
    bool ended;      /* the final event or a valid body was parsed */
    uint32_t text_events;     /* events whose text isn't empty */
    uint32_t retry_after_ms;  /* of an error; 0: not stated */
    char type[LA_NAME_BYTES]; /* of an error; "" without one */
    char ran[LA_NAME_BYTES];  /* of an error: "not_run", "ran", "unknown" */
    GString *unparsed;
    GString *text; /* of a draft, or the body of a service's answer */
} la_answer;

void la_setup(la_answer *answer);
void la_clear(la_answer *answer);
/* Sets the head of the answer; events: its content type is that of a stream
   of events. */
void la_begin(la_answer *answer, uint32_t status, bool events, bool draft);
void la_feed(la_answer *answer, const char *bytes, size_t size);
/* After the last bytes: parses a body that isn't a stream. */
void la_end(la_answer *answer);

/* queries, after la_end() */
/* True if an error with a type arrived, in the body or within a stream, and
   no regular end of the answer. */
bool la_query_is_refusal(const la_answer *answer);
/* True if the answer has status 200, ended regularly and contains no error. */
bool la_query_is_complete(const la_answer *answer);
const char *la_query_text(const la_answer *answer);

#endif
