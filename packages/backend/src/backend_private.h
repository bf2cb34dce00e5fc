/* backend_private.h: internals shared by the files of the backend client. */
#ifndef LACEWING_BACKEND_PRIVATE_H
#define LACEWING_BACKEND_PRIVATE_H

#include "lacewing/backend.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct be_server {
    char *address;
    tm_service *timers;
    SoupSession *session;
    GCancellable *cancel; /* cancelled when the server is destroyed */
    uint64_t fence;
    char *owner;
    uint32_t stall_timeout_ms;
    uint32_t start_timeout_ms;
    uint32_t order_timeout_ms;
    uint32_t probe_timeout_ms;
    GHashTable *streams; /* set of be_stream that have not ended */
};

/* Creates a request to the server with the X-Fence and X-Owner headers. */
SoupMessage *_be_message(be_server *server, const char *method,
                         const char *path);

/* Sets the builder's root as the JSON body of the message. */
void _be_set_json(SoupMessage *message, JsonBuilder *builder);

/* Returns a member of an object, or fallback if the member is absent or of
   another type. A fraction of a number is cut off. */
const char *_be_json_string(JsonObject *object, const char *name,
                            const char *fallback);
int64_t _be_json_int(JsonObject *object, const char *name, int64_t fallback);
/* Returns a member that is a whole number from 0 to UINT32_MAX, else -1. */
int64_t _be_json_count(JsonObject *object, const char *name);

/* Returns true if the error shows that no connection was made, so that
   nothing was sent. */
bool _be_never_connected(const GError *error);

/* Returns the error type in the body of an answer, or NULL if there is none.
   Free with g_free(). */
char *_be_error_type(GBytes *body);

#endif
