/* The runs of a deployment that the measures need. */
#include "runs.h"
#include <glib.h>

struct rn_runs {
    rn_desc desc;
    ar_trace *traces[AR_SCENARIO_NUM];
    wd_result results[AR_SCENARIO_NUM][WD_POLICY_NUM];
    bool requested[AR_SCENARIO_NUM][WD_POLICY_NUM];
};

/* One run, a task of the thread pool. */
typedef struct rn_job {
    rn_runs *runs;
    ar_scenario scenario;
    wd_policy_kind policy;
} rn_job;

static void
_run(gpointer data, gpointer user_data)
{
    (void)user_data;
    g_autofree rn_job *job = data;
    const rn_desc *desc = &job->runs->desc;
    wd_run(&(wd_desc){.deployment = desc->deployment,
                      .trace = job->runs->traces[job->scenario],
                      .scenario = job->scenario,
                      .seed = desc->seed,
                      .policy = job->policy,
                      .disabled_features = desc->disabled_features},
           &job->runs->results[job->scenario][job->policy]);
}

static void
_push(GThreadPool *pool, rn_runs *runs, ar_scenario scenario,
      wd_policy_kind policy)
{
    rn_job *job = g_new0(rn_job, 1);
    *job = (rn_job){.runs = runs, .scenario = scenario, .policy = policy};
    runs->requested[scenario][policy] = true;
    g_thread_pool_push(pool, job, NULL);
}

static rn_runs *
_create(const rn_desc *desc, GThreadPool *pool)
{
    rn_runs *runs = g_new0(rn_runs, 1);
    runs->desc = *desc;
    for (int i = 0; i < AR_SCENARIO_NUM; i++) {
        if ((desc->scenarios & (1u << i)) == 0) {
            continue;
        }
        runs->traces[i] = ar_create(&(ar_desc){.deployment = desc->deployment,
                                               .seed = desc->seed,
                                               .scenario = (ar_scenario)i});
        _push(pool, runs, (ar_scenario)i, WD_POLICY_OURS);
        if (!desc->ours_only) {
            _push(pool, runs, (ar_scenario)i, WD_POLICY_BASELINE);
        }
    }
    return runs;
}

void
rn_create_all(const rn_desc *descs, uint32_t count, uint32_t threads,
              rn_runs **runs)
{
    gint limit = (gint)(threads ? threads : g_get_num_processors());
    GThreadPool *pool = g_thread_pool_new(_run, NULL, limit, TRUE, NULL);
    for (uint32_t i = 0; i < count; i++) {
        runs[i] = _create(&descs[i], pool);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
}

void
rn_destroy(rn_runs *runs)
{
    for (int i = 0; i < AR_SCENARIO_NUM; i++) {
        for (int k = 0; k < WD_POLICY_NUM; k++) {
            wd_clear(&runs->results[i][k]);
        }
        if (runs->traces[i] != NULL) {
            ar_destroy(runs->traces[i]);
        }
    }
    g_free(runs);
}

const rn_desc *
rn_query_desc(const rn_runs *runs)
{
    return &runs->desc;
}

const ar_trace *
rn_query_trace(const rn_runs *runs, ar_scenario scenario)
{
    return runs->traces[scenario];
}

const wd_result *
rn_query(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy)
{
    return runs->requested[scenario][policy] ? &runs->results[scenario][policy]
                                             : NULL;
}
