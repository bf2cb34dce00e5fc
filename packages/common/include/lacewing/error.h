/*
 * error.h: error codes and messages (prefix er_).
 *
 * A function that can fail returns an er_code. If it also takes an er_status,
 * it stores the code and a message there. The message is for people; programs
 * compare codes.
 *
 *     er_status status = {0};
 *     if (st_load(&desc, &status) != ER_OK) {
 *         lg_write(LG_SETTINGS_REFUSED, "why", status.message, NULL);
 *     }
 *
 * Each code has a name and an HTTP status, which callers get in answers to
 * refused and failed requests.
 *
 * Limits: a message is truncated to ER_MESSAGE_BYTES - 1 bytes.
 */
#ifndef LACEWING_ERROR_H
#define LACEWING_ERROR_H

#include <stdbool.h>
#include <stdint.h>

#define ER_MESSAGE_BYTES 256

/* Code, name in messages and answers, HTTP status for callers. */
#define ER_CODES(X)                                                           \
    X(ER_OK, "ok", 200)                                                       \
    X(ER_INTERNAL, "internal", 500)                                           \
    X(ER_BAD_REQUEST, "bad_request", 400)                                     \
    X(ER_BODY_TOO_LARGE, "body_too_large", 413)                               \
    X(ER_HEAD_TOO_LARGE, "head_too_large", 431)                               \
    X(ER_UNAUTHORIZED, "unauthorized", 401)                                   \
    X(ER_FORBIDDEN, "forbidden", 403)                                         \
    X(ER_NOT_FOUND, "not_found", 404)                                         \
    X(ER_UNKNOWN_MODEL, "unknown_model", 404)                                 \
    X(ER_UNKNOWN_OPERATION, "unknown_operation", 404)                         \
    X(ER_KEY_MISSING, "idempotency_key_missing", 400)                         \
    X(ER_KEY_REUSED, "idempotency_key_reused", 422)                           \
    X(ER_IN_PROGRESS, "in_progress", 409)                                     \
    X(ER_OUTCOME_UNKNOWN, "outcome_unknown", 502)                             \
    X(ER_OVERLOADED, "overloaded", 429)                                       \
    X(ER_SHARE_EXCEEDED, "share_exceeded", 429)                               \
    X(ER_DEADLINE, "deadline_cannot_be_met", 503)                             \
    X(ER_NO_SERVER, "no_backend_server", 503)                                 \
    X(ER_SERVER_FAILED, "backend_server_failed", 502)                         \
    X(ER_LOAD_FAILED, "adapter_load_failed", 503)                             \
    X(ER_POISON, "request_crashes_servers", 422)                              \
    X(ER_PLATFORM_DOWN, "platform_unavailable", 503)                          \
    X(ER_NOT_READY, "not_ready", 503)                                         \
    X(ER_STOPPING, "stopping", 503)                                           \
    X(ER_CONFLICT, "version_conflict", 409)                                   \
    X(ER_FENCED, "fenced", 409)                                               \
    X(ER_TIMEOUT, "timeout", 504)                                             \
    X(ER_CONNECTION, "connection_lost", 502)                                  \
    X(ER_CANCELLED, "cancelled", 499)                                         \
    X(ER_FRAME_TOO_LARGE, "frame_too_large", 400)                             \
    X(ER_FRAME_CORRUPT, "frame_corrupt", 400)                                 \
    X(ER_FRAME_TRUNCATED, "frame_truncated", 400)                             \
    X(ER_SETTING_UNKNOWN, "setting_unknown", 400)                             \
    X(ER_SETTING_TYPE, "setting_type", 400)                                   \
    X(ER_SETTING_RANGE, "setting_range", 400)                                 \
    X(ER_SETTING_MISSING, "setting_missing", 400)                             \
    X(ER_SETTING_CONFLICT, "setting_conflict", 400)                           \
    X(ER_FILE, "file", 400)                                                   \
    X(ER_POOL_FULL, "pool_full", 503)                                         \
    X(ER_INVALID_ID, "invalid_id", 400)                                       \
    X(ER_STALE, "stale", 409)

typedef enum er_code {
#define ER_ENUM(code, name, http) code,
    ER_CODES(ER_ENUM)
#undef ER_ENUM
        ER_NUM
} er_code;

/* An error code with its message. Zero-initialised, it means success. */
typedef struct er_status {
    er_code code;
    char message[ER_MESSAGE_BYTES];
} er_status;

/* Sets code and message and returns code. The status may be NULL. */
er_code er_set(er_status *status, er_code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Resets a status to ER_OK with an empty message. It may be NULL. */
void er_clear(er_status *status);

/* Queries. A code out of range is taken for ER_INTERNAL. */
const char *er_query_name(er_code code);
uint32_t er_query_http(er_code code);
/* Returns the code of a name, or ER_INTERNAL if the name is unknown. */
er_code er_query_code(const char *name);

#endif
