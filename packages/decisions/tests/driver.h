/*
 * driver.h: drives a policy with random events (prefix dr_).
 *
 * Each action of the policy gets a reply after a random delay. With faults,
 * replies are lost, repeated late, or report failures, and servers change
 * state or owner. All randomness comes from one seed. The checker sees every
 * action and every event that bears on its rules.
 *
 *     dr_driver *driver = dr_create(seed, true);
 *     for (uint32_t step = 0; step < 3000; step++) {
 *         dr_step(driver, 0.5, 0.05);
 *     }
 *     dr_run_without_arrivals(driver);
 *     (assert on driver->checker)
 *     dr_destroy(driver);
 */
#ifndef LACEWING_TESTS_DRIVER_H
#define LACEWING_TESTS_DRIVER_H

#include "checker.h"
#include <check.h>

#define DR_SERVERS 6
#define DR_OWNED_SERVERS 4 /* the first ones; instance 5 owns the others */
#define DR_ADAPTERS 14
#define DR_SLOTS 3
#define DR_ADAPTER_SLOTS 4
#define DR_LOADS_PER_S_MILLI 8000
#define DR_LOADS_IN_TRANSIT 2
#define DR_MS ((uint64_t)1000)
#define DR_CALLER_TIMEOUT_MS 20000 /* a caller leaves after this time */

typedef struct dr_reply {
    uint64_t due_us;
    lwd_event event;
    uint64_t tag;   /* of the request; for LOAD and EVICT, of the server */
    uint32_t index; /* of the adapter for LOAD and EVICT, of the server for
                       SEND */
    bool ran;       /* the request ran, or may have, at the replier */
} dr_reply;

typedef struct dr_driver {
    lwd_policy *policy;
    ck_checker *checker;
    GRand *random;
    GArray *replies; /* dr_reply */
    lwd_server servers[DR_SERVERS];
    bool owned[DR_SERVERS];
    lwd_adapter adapters[DR_ADAPTERS];
    uint64_t sequences[DR_SERVERS];
    uint64_t now_us;
    uint64_t requests;
    uint64_t digest; /* of all actions and their times */
    bool faults;
} dr_driver;

static inline bool
dr_chance(dr_driver *driver, double chance)
{
    return g_rand_double(driver->random) < chance;
}

static inline uint32_t
dr_random_below(dr_driver *driver, uint32_t bound)
{
    return (uint32_t)g_rand_int_range(driver->random, 0, (gint32)bound);
}

/* -- replies -------------------------------------------------------------- */

static inline void
dr_schedule_reply(dr_driver *driver, uint32_t delay_max_ms,
                  const dr_reply *reply)
{
    dr_reply copy = *reply;
    copy.due_us =
        driver->now_us + (1 + dr_random_below(driver, delay_max_ms)) * DR_MS;
    if (driver->faults && dr_chance(driver, 0.03)) {
        return; /* the reply is lost */
    }
    g_array_append_val(driver->replies, copy);
    if (driver->faults && dr_chance(driver, 0.05)) {
        copy.due_us += dr_random_below(driver, 5000) * DR_MS;
        g_array_append_val(driver->replies, copy); /* comes again, late */
    }
}

static inline void
dr_reply_to_send(dr_driver *driver, const lwd_action *action)
{
    static const lwd_failure failures[] = {
        LWD_FAILURE_BROKEN,       LWD_FAILURE_BROKEN, LWD_FAILURE_NOT_STARTED,
        LWD_FAILURE_NOT_RESIDENT, LWD_FAILURE_DIED,   LWD_FAILURE_FENCED};
    dr_reply reply = {
        .tag = action->tag,
        .index = (uint32_t)action->server_tag,
        .ran = true,
        .event = {.type = LWD_EVENT_FIRST_TOKEN, .attempt = action->attempt}};
    dr_schedule_reply(driver, 100, &reply);
    reply.event.type = LWD_EVENT_PROGRESS;
    reply.event.tokens = action->resume_from + 1 + dr_random_below(driver, 8);
    dr_schedule_reply(driver, 300, &reply);
    reply.event.type = LWD_EVENT_FINISHED;
    reply.event.tokens += dr_random_below(driver, 100);
    if (driver->faults && dr_chance(driver, 0.12)) {
        reply.event.type = LWD_EVENT_FAILED;
        reply.event.failure =
            failures[dr_random_below(driver, G_N_ELEMENTS(failures))];
        reply.ran = reply.event.failure == LWD_FAILURE_BROKEN ||
                    reply.event.failure == LWD_FAILURE_DIED;
    }
    dr_schedule_reply(driver, 2000, &reply);
}

static inline void
dr_reply_to_forward(dr_driver *driver, const lwd_action *action)
{
    dr_reply reply = {.tag = action->tag,
                      .ran = true,
                      .event = {.type = LWD_EVENT_FORWARD_FINISHED,
                                .request = action->request,
                                .tokens = 20}};
    if (driver->faults && dr_chance(driver, 0.3)) {
        reply.event.type = LWD_EVENT_FORWARD_FAILED;
        reply.event.reason =
            dr_chance(driver, 0.5) ? ER_CONNECTION : ER_OVERLOADED;
        reply.ran = dr_chance(driver, 0.5);
        reply.event.failure =
            reply.ran ? LWD_FAILURE_BROKEN : LWD_FAILURE_NOT_STARTED;
    }
    dr_schedule_reply(driver, 1500, &reply);
}

static inline void
dr_reply_to_load_or_evict(dr_driver *driver, const lwd_action *action)
{
    bool load = action->type == LWD_ACTION_LOAD;
    bool failed = load && driver->faults && dr_chance(driver, 0.1);
    dr_reply reply = {.tag = action->server_tag,
                      .index = (uint32_t)action->adapter_tag,
                      .event = {.type = !load    ? LWD_EVENT_EVICT_DONE
                                        : failed ? LWD_EVENT_LOAD_FAILED
                                                 : LWD_EVENT_LOAD_DONE,
                                .server = action->server,
                                .adapter = action->adapter}};
    dr_schedule_reply(driver, load ? 400 : 20, &reply);
}

/* Takes all actions of the policy, adds them to the digest and schedules their
   replies. */
static inline void
dr_process_actions(dr_driver *driver)
{
    lwd_action action;
    while (lwd_next_action(driver->policy, &action)) {
        ck_on_action(driver->checker, driver->now_us, &action);
        uint64_t parts[] = {action.type,        action.tag,
                            action.attempt.id,  action.server_tag,
                            action.adapter_tag, action.resume_from,
                            action.reason,      action.retry_after_ms,
                            driver->now_us};
        for (uint32_t at = 0; at < G_N_ELEMENTS(parts); at++) {
            /* the multiplier of the FNV-1a hash */
            driver->digest = (driver->digest ^ parts[at]) * 1099511628211U;
        }
        switch (action.type) {
        case LWD_ACTION_SEND:
            dr_reply_to_send(driver, &action);
            break;
        case LWD_ACTION_FORWARD:
            dr_reply_to_forward(driver, &action);
            break;
        case LWD_ACTION_LOAD:
        case LWD_ACTION_EVICT:
            dr_reply_to_load_or_evict(driver, &action);
            break;
        default:
            break;
        }
    }
    ck_assert_uint_gt(lwd_query_wakeup_us(driver->policy), driver->now_us);
}

/* -- events --------------------------------------------------------------- */

static inline er_code
dr_feed(dr_driver *driver, const lwd_event *event)
{
    return lwd_feed(driver->policy, driver->now_us, event);
}

/* Tells the checker which attempt or request has ended by a reply that the
   policy answered with code. */
static inline void
dr_report_end_to_checker(dr_driver *driver, const dr_reply *reply,
                         er_code code)
{
    ck_checker *checker = driver->checker;
    const lwd_event *event = &reply->event;
    switch (event->type) {
    case LWD_EVENT_FINISHED:
    case LWD_EVENT_FAILED:
        ck_on_attempt_end(checker, event->attempt.id, reply->ran);
        if (code == ER_OK && event->failure == LWD_FAILURE_NOT_RESIDENT) {
            uint32_t adapter = checker->requests[reply->tag].adapter;
            ck_copy_state *copy_state =
                &checker->copy_states[reply->index][adapter];
            *copy_state = *copy_state == CK_RESIDENT ? CK_ABSENT : *copy_state;
        }
        if (code == ER_OK && event->failure == LWD_FAILURE_FENCED) {
            ck_on_server_emptied(checker, reply->index);
            driver->owned[reply->index] = false;
        }
        if (event->type != LWD_EVENT_FINISHED) {
            return;
        }
        break;
    case LWD_EVENT_FORWARD_FAILED:
        if (code == ER_OK && !reply->ran) {
            checker->requests[reply->tag].may_have_run--;
        }
        return;
    case LWD_EVENT_FORWARD_FINISHED:
    case LWD_EVENT_CALLER_GONE:
        break;
    default:
        return;
    }
    if (code == ER_OK) {
        ck_on_request_end(checker, reply->tag);
    }
}

static inline void
dr_deliver(dr_driver *driver, const dr_reply *reply)
{
    er_code code = dr_feed(driver, &reply->event);
    if (code == ER_OK) {
        switch (reply->event.type) {
        case LWD_EVENT_LOAD_DONE:
        case LWD_EVENT_LOAD_FAILED:
            ck_on_load_end(driver->checker, (uint32_t)reply->tag, reply->index,
                           reply->event.type == LWD_EVENT_LOAD_DONE);
            break;
        case LWD_EVENT_EVICT_DONE:
            driver->checker->copy_states[reply->tag][reply->index] = CK_ABSENT;
            break;
        default:
            break;
        }
    }
    dr_report_end_to_checker(driver, reply, code);
    dr_process_actions(driver);
}

static inline void
dr_deliver_due(dr_driver *driver)
{
    for (guint at = 0; at < driver->replies->len;) {
        dr_reply reply = g_array_index(driver->replies, dr_reply, at);
        if (reply.due_us > driver->now_us) {
            at++;
            continue;
        }
        g_array_remove_index_fast(driver->replies, at);
        dr_deliver(driver, &reply);
    }
}

static inline void
dr_tick(dr_driver *driver, uint64_t ms)
{
    driver->now_us += ms * DR_MS;
    dr_feed(driver, &(lwd_event){.type = LWD_EVENT_TICK});
    dr_process_actions(driver);
}

static inline void
dr_new_request(dr_driver *driver)
{
    uint32_t adapter =
        dr_random_below(driver, 1 + dr_random_below(driver, DR_ADAPTERS));
    uint64_t tag = driver->requests++;
    ck_on_request(driver->checker, tag, adapter);
    lwd_request_desc desc = {
        .tag = tag,
        .adapter = driver->adapters[adapter],
        .team = dr_random_below(driver, 3),
        .operation = dr_random_below(driver, 4),
        .prompt_tokens = 50 + dr_random_below(driver, 200),
        .max_tokens = dr_chance(driver, 0.1) ? 2000 : 100,
        .deadline_us =
            dr_chance(driver, 0.8) ? driver->now_us + 8000 * DR_MS : 0,
        .fingerprint = dr_random_below(driver, 40),
        .forwarded = dr_chance(driver, 0.2),
    };
    lwd_request id = lwd_make_request(driver->policy, driver->now_us, &desc);
    ck_assert_uint_ne(id.id, 0);
    dr_reply gone = {.due_us = driver->now_us + DR_CALLER_TIMEOUT_MS * DR_MS,
                     .tag = tag,
                     .event = {.type = LWD_EVENT_CALLER_GONE, .request = id}};
    g_array_append_val(driver->replies, gone);
    dr_process_actions(driver);
}

/* -- faults --------------------------------------------------------------- */

static inline void
dr_set_server_state(dr_driver *driver, uint32_t server, lwd_server_state state)
{
    dr_feed(driver, &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                                 .server = driver->servers[server],
                                 .server_state = state});
    if (state == LWD_SERVER_LEAVING) {
        driver->checker->leaving[server] = true;
    }
    bool restarts =
        state == LWD_SERVER_RESTARTED && !driver->checker->leaving[server];
    if (state == LWD_SERVER_DOWN || restarts) {
        ck_on_server_emptied(driver->checker, server);
    }
    dr_process_actions(driver);
}

static inline void
dr_set_owned(dr_driver *driver, uint32_t server, bool owned)
{
    uint64_t handover_until_us =
        driver->now_us + dr_random_below(driver, 2000) * DR_MS;
    dr_feed(driver, &(lwd_event){.type = LWD_EVENT_OWNER,
                                 .server = driver->servers[server],
                                 .owner = owned ? 0 : 5,
                                 .owned = owned,
                                 .handover_until_us = handover_until_us});
    if (driver->owned[server] != owned) {
        ck_on_server_emptied(driver->checker, server);
    }
    driver->owned[server] = owned;
    driver->checker->handover_until_us[server] = handover_until_us;
    dr_process_actions(driver);
}

static inline void
dr_feed_summary(dr_driver *driver, uint32_t server)
{
    bool old = dr_chance(driver, 0.2);
    lwd_summary summary = {.sequence = old ? 1 : ++driver->sequences[server],
                           .running = dr_random_below(driver, DR_SLOTS + 1),
                           .backlog_ms = dr_random_below(driver, 3000),
                           .load_wait_ms = dr_random_below(driver, 3000),
                           .change_count = 1};
    summary.changes[0].adapter_tag = dr_random_below(driver, DR_ADAPTERS);
    summary.changes[0].resident = dr_chance(driver, 0.7);
    dr_feed(driver, &(lwd_event){.type = LWD_EVENT_SUMMARY,
                                 .server = driver->servers[server],
                                 .summary = &summary});
    dr_process_actions(driver);
}

/* Reports whether a random adapter is resident, as the checker has it. */
static inline void
dr_feed_residency(dr_driver *driver, uint32_t server)
{
    uint32_t adapter = dr_random_below(driver, DR_ADAPTERS);
    ck_copy_state copy_state = driver->checker->copy_states[server][adapter];
    dr_feed(driver, &(lwd_event){.type = LWD_EVENT_RESIDENT,
                                 .server = driver->servers[server],
                                 .adapter = driver->adapters[adapter],
                                 .resident = copy_state == CK_RESIDENT});
    dr_process_actions(driver);
}

/* Feeds one random fault, summary, suspect or stale progress report. */
static inline void
dr_inject_fault(dr_driver *driver)
{
    uint32_t server = dr_random_below(driver, DR_SERVERS);
    switch (dr_random_below(driver, 10)) {
    case 0:
        dr_set_server_state(driver, server, LWD_SERVER_DOWN);
        break;
    case 1:
        dr_set_server_state(driver, server, LWD_SERVER_RESTARTED);
        break;
    case 2:
        if (server == 0 && dr_chance(driver, 0.1)) {
            dr_set_server_state(driver, server, LWD_SERVER_LEAVING);
        }
        break;
    case 3:
        dr_set_owned(driver, server, dr_chance(driver, 0.7));
        break;
    case 4:
        dr_feed(driver,
                &(lwd_event){.type = LWD_EVENT_SUSPECT,
                             .fingerprint = dr_random_below(driver, 40),
                             .deaths = 1});
        break;
    case 5:
        dr_feed(driver,
                &(lwd_event){.type = LWD_EVENT_PROGRESS,
                             .attempt = {dr_random_below(driver, 1 << 30)},
                             .tokens = 5});
        break;
    case 6:
        dr_set_server_state(driver, server, LWD_SERVER_READY);
        break;
    case 7:
        dr_feed_residency(driver, server);
        break;
    default:
        dr_feed_summary(driver, server);
        break;
    }
    dr_process_actions(driver);
}

/* -- life cycle ----------------------------------------------------------- */

static inline dr_driver *
dr_create(uint32_t seed, bool faults)
{
    dr_driver *driver = g_new0(dr_driver, 1);
    driver->random = g_rand_new_with_seed(seed);
    driver->faults = faults;
    driver->replies = g_array_new(FALSE, FALSE, sizeof(dr_reply));
    driver->now_us = 1000 * DR_MS;
    driver->checker = ck_create(DR_LOADS_PER_S_MILLI / 1000.0,
                                DR_LOADS_IN_TRANSIT, DR_SLOTS);
    driver->policy =
        lwd_create(&(lwd_desc){.seed = seed,
                               .loads_per_s_milli = DR_LOADS_PER_S_MILLI,
                               .loads_in_transit = DR_LOADS_IN_TRANSIT,
                               .request_capacity = CK_REQUESTS,
                               .action_capacity = 8192});
    for (uint32_t at = 0; at < DR_SERVERS; at++) {
        driver->owned[at] = at < DR_OWNED_SERVERS;
        driver->servers[at] = lwd_make_server(
            driver->policy, driver->now_us,
            &(lwd_server_desc){.tag = at,
                               .zone = at % 2,
                               .slots = DR_SLOTS,
                               .adapter_slots = DR_ADAPTER_SLOTS,
                               .owner = at < DR_OWNED_SERVERS ? 0 : 5,
                               .owned = at < DR_OWNED_SERVERS,
                               .pausable = at % 2 == 0});
    }
    for (uint32_t at = 0; at < DR_ADAPTERS; at++) {
        driver->adapters[at] = lwd_make_adapter(
            driver->policy, driver->now_us, &(lwd_adapter_desc){.tag = at});
    }
    return driver;
}

static inline void
dr_destroy(dr_driver *driver)
{
    lwd_destroy(driver->policy);
    ck_destroy(driver->checker);
    g_array_unref(driver->replies);
    g_rand_free(driver->random);
    g_free(driver);
}

/* Advances by up to 29 ms, delivers due replies, and with the given
   probabilities adds a request and a fault. */
static inline void
dr_step(dr_driver *driver, double arrivals, double faults)
{
    dr_tick(driver, dr_random_below(driver, 30));
    dr_deliver_due(driver);
    if (dr_chance(driver, arrivals)) {
        dr_new_request(driver);
    }
    if (driver->faults && dr_chance(driver, faults)) {
        dr_inject_fault(driver);
    }
}

/* Runs for 30 s without new requests; all callers have left by then, so all
   requests must have ended. */
static inline void
dr_run_without_arrivals(dr_driver *driver)
{
    for (uint32_t step = 0; step < 3000; step++) {
        dr_tick(driver, 10);
        dr_deliver_due(driver);
    }
}

#endif
