/*
 * questions.h: the questions and their typed answers (private).
 *
 * qn_answers_load() reads an answers file into structs and checks each answer
 * by itself; qn_answers_check() then finds answers that contradict each other.
 */
#ifndef LACEWING_TOOL_QUESTIONS_H
#define LACEWING_TOOL_QUESTIONS_H

#include "lacewing/questionnaire.h"
#include "lacewing/settings.h"

/* What matters most to the operator; sets the budget of second attempts. */
typedef enum qn_objective {
    QN_OBJECTIVE_PEAK,
    QN_OBJECTIVE_HEAD_OF_LINE,
    QN_OBJECTIVE_LOADS,
    QN_OBJECTIVE_SLOWED_SERVERS
} qn_objective;

typedef enum qn_tristate { QN_NO, QN_YES, QN_UNKNOWN } qn_tristate;

typedef enum qn_operation_kind { QN_DRAFT, QN_CALL } qn_operation_kind;

typedef enum qn_server_kind { QN_ENGINE, QN_SERVICE } qn_server_kind;

typedef enum qn_address_step { QN_STEP_IP, QN_STEP_PORT } qn_address_step;

/* Answers to the questions that are asked once. */
typedef struct qn_deployment {
    char *name;
    char *region;
    char *description;  /* who is served, and with what */
    uint32_t objective; /* qn_objective */
    uint32_t instances;
    char **zones;
    double latency_ms; /* one way, between zones */
    double loads_per_s;
    uint32_t loads_at_once;     /* at full speed */
    uint32_t loads_in_transit;  /* beyond which each takes longer */
    uint32_t load_ms;           /* of one adapter at full speed */
    uint32_t first_token_ms;    /* longest wait for the first token */
    uint32_t token_interval_ms; /* longest wait between tokens */
} qn_deployment;

/* [servers NAME]: equal backend servers, numbered from 1. */
typedef struct qn_server_group {
    char *name;
    uint32_t kind; /* qn_server_kind */
    uint32_t count;
    char **zones;           /* assigned round-robin; empty: all */
    char *first_address;    /* IP:port of the first server */
    uint32_t next_address;  /* qn_address_step: what is incremented */
    uint32_t checks_fence;  /* qn_tristate: refuses an old fence */
    uint32_t pauses;        /* qn_tristate: pauses and resumes streams */
    uint32_t slots;         /* concurrent requests per server */
    uint32_t adapter_slots; /* adapters per engine */
    uint32_t tokens_per_s;  /* of one request alone; 0: unknown */
} qn_server_group;

/* [operation NAME] */
typedef struct qn_operation {
    char *name;
    uint32_t kind;        /* qn_operation_kind */
    uint32_t may_repeat;  /* qn_tristate */
    uint32_t deadline_ms; /* answer late_after_ms */
    uint32_t max_tokens;  /* answer longest_tokens; for drafts */
    char **servers;       /* NAMEs of [servers NAME]; empty: all services */
} qn_operation;

/* [adapters NAME]: adapters that are named prefix and number. */
typedef struct qn_adapter_group {
    char *name;
    uint32_t count;
    char *prefix;
    char *model;
    char *team;
    char *version;
    uint32_t always_warm; /* number of adapters pinned, from the first */
} qn_adapter_group;

/* [team NAME] */
typedef struct qn_team {
    char *name;
    uint32_t weight;         /* shares against the other teams */
    uint32_t requests_per_s; /* 0: no limit */
    char **keys;             /* as role:sha256hex */
} qn_team;

typedef enum qn_group_type {
    QN_GROUP_SERVERS,
    QN_GROUP_OPERATIONS,
    QN_GROUP_TEAMS,
    QN_GROUP_ADAPTERS,
    QN_GROUP_TYPE_NUM
} qn_group_type;

/* The questions of one type of groups, [TYPE NAME]. */
typedef struct qn_group_table {
    const char *type_name; /* TYPE in [TYPE NAME] */
    const char *title;     /* prompt for names; heading in the reference */
    const st_key *keys;
    size_t key_count;
    size_t size; /* bytes of the struct, whose first member is the name */
} qn_group_table;

typedef struct qn_answers {
    qn_deployment deployment;
    /* The structs of each type: qn_server_group, qn_operation, qn_team,
       qn_adapter_group. */
    GPtrArray *groups[QN_GROUP_TYPE_NUM];
} qn_answers;

extern const st_key qn_deployment_keys[];
extern const size_t qn_deployment_key_count;
extern const qn_group_table qn_group_tables[QN_GROUP_TYPE_NUM];

/* Reads the answers and checks each by itself. Call qn_answers_clear() also
   after an error. */
er_code qn_answers_load(GKeyFile *parsed, const char *file,
                        qn_answers *answers, er_status *status);
void qn_answers_clear(qn_answers *answers);
/* Checks the answer to one question by itself. */
er_code qn_answer_check(GKeyFile *parsed, const char *file, const char *group,
                        const st_key *key, er_status *status);
/* Fills problem after qn_answers_load() failed with this status: finds the
   question with the invalid answer. */
void qn_answers_describe_load_error(GKeyFile *parsed, const char *file,
                                    const er_status *status,
                                    qn_problem *problem);

/* Checks the answers against each other. Returns false and fills problem at
   the first contradiction. */
bool qn_answers_check(const qn_answers *answers, qn_problem *problem);
/* Returns the zones of a group of servers; all zones if it names none. */
char **qn_query_zones(const qn_answers *answers,
                      const qn_server_group *servers);
/* Returns NULL if there is no [servers NAME] of this name. */
const qn_server_group *qn_query_server_group(const qn_answers *answers,
                                             const char *name);
/* Returns the address of the nth server of a group, from 0. Returns NULL if
   first_address is invalid or the port exceeds 65535. Free with g_free(). */
char *qn_query_address(const qn_server_group *servers, uint32_t nth);

/* Fills a problem; free it with qn_problem_clear(). key NULL: the problem is
   with the whole group. Always returns false. */
bool qn_problem_set(qn_problem *problem, qn_problem_code code,
                    const char *group, const char *key, const char *format,
                    ...) __attribute__((format(printf, 5, 6)));

#endif
