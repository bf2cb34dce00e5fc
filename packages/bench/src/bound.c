/* Upper bound on the share of requests answered in time. */
#include "bound.h"
#include "engine.h"
#include <glib.h>

#define UNCACHED_PROMPT_SHARE 0.4 /* of a prompt's tokens, on a cache hit */

typedef struct bo_job {
    double deadline_us;
    double work_us; /* time on all servers together */
} bo_job;

static gint
_by_deadline(gconstpointer one, gconstpointer other)
{
    double first = ((const bo_job *)one)->deadline_us;
    double second = ((const bo_job *)other)->deadline_us;
    return (first > second) - (first < second);
}

static gint
_by_work(gconstpointer one, gconstpointer other, gpointer user_data)
{
    (void)user_data;
    double first = ((const bo_job *)one)->work_us;
    double second = ((const bo_job *)other)->work_us;
    if (first != second) {
        return (first > second) - (first < second);
    }
    return (one > other) - (one < other);
}

/* Returns the speed of all servers together, in normal servers. */
static double
_total_speed(const ar_deployment *deployment)
{
    double speed = 0;
    for (uint32_t i = 0; i < deployment->servers; i++) {
        speed += 1 / ar_query_slowness(deployment, i);
    }
    return speed;
}

static GArray *
_make_jobs(const ar_deployment *deployment, const ar_trace *trace)
{
    GArray *jobs = g_array_new(FALSE, FALSE, sizeof(bo_job));
    double speed = _total_speed(deployment);
    double token_us =
        (EN_STEP_BASE_US + EN_STEP_PER_JOB_US * EN_SLOTS) / EN_SLOTS;
    for (uint32_t i = 0; i < trace->count; i++) {
        const ar_request *request = &trace->requests[i];
        double prefill_us = EN_PREFILL_PER_TOKEN_US * UNCACHED_PROMPT_SHARE *
                            request->prompt_tokens;
        bo_job job = {.deadline_us = (double)request->deadline_us,
                      .work_us =
                          (request->answer_tokens * token_us + prefill_us) /
                          speed};
        if (request->measured) {
            g_array_append_val(jobs, job);
        }
    }
    g_array_sort(jobs, _by_deadline);
    return jobs;
}

static double
_start_us(const ar_trace *trace)
{
    for (uint32_t i = 0; i < trace->count; i++) {
        if (trace->requests[i].measured) {
            return (double)trace->requests[i].at_us;
        }
    }
    return 0;
}

double
bo_query_answered_share(const ar_deployment *deployment, const ar_trace *trace)
{
    g_autoptr(GArray) jobs = _make_jobs(deployment, trace);
    GSequence *kept = g_sequence_new(NULL);
    double end_us = _start_us(trace);
    for (guint i = 0; i < jobs->len; i++) {
        bo_job *job = &g_array_index(jobs, bo_job, i);
        g_sequence_insert_sorted(kept, job, _by_work, NULL);
        end_us += job->work_us;
        if (end_us > job->deadline_us) {
            GSequenceIter *last =
                g_sequence_iter_prev(g_sequence_get_end_iter(kept));
            end_us -= ((bo_job *)g_sequence_get(last))->work_us;
            g_sequence_remove(last);
        }
    }
    double share =
        jobs->len == 0 ? 0 : (double)g_sequence_get_length(kept) / jobs->len;
    g_sequence_free(kept);
    return share;
}
