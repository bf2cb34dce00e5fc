/*
 * load_answer.h: reads the answer to one request (prefix la_).
 *
 * Takes the bytes of an answer as they come, of a daemon or of a stand-in:
 * events of a stream, a whole draft, the answer of a service, or an error.
 *
 *     la_answer answer;
 *     la_setup(&answer);
 *     la_begin(&answer, 200, true, true);
 *     la_take(&answer, bytes, size);
 *     la_end(&answer);
 *     bool whole = la_query_is_whole(&answer);
 *
 * A draft's stream is whole when "data: [DONE]" (daemon) or an event with
 * "done" (engine) has come, never by the connection's end alone.
 */
#ifndef LACEWING_STANDIN_LOAD_ANSWER_H
#define LACEWING_STANDIN_LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define LA_NAME_BYTES 64

typedef struct la_answer {
    uint32_t status;
    bool events; /* a stream of events */
    bool draft;
    bool cut;  /* set by the user: the connection broke */
    bool last; /* the event that ends a whole stream has come */
    uint32_t pieces;
    uint32_t retry_after_ms;
    char type[LA_NAME_BYTES]; /* of an error */
    char ran[LA_NAME_BYTES];
    GString *raw; /* not yet read */
    GString *text;
} la_answer;

void la_setup(la_answer *answer);
void la_clear(la_answer *answer);
void la_begin(la_answer *answer, uint32_t status, bool events, bool draft);
void la_take(la_answer *answer, const char *bytes, size_t size);
void la_end(la_answer *answer);

/* queries, after la_end() */
bool la_query_is_refusal(const la_answer *answer);
bool la_query_is_whole(const la_answer *answer);
const char *la_query_text(const la_answer *answer);

#endif
