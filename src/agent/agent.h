/*
 * Inside of an agent: the point of execution beside one upstream.
 */
#ifndef KWB_AGENT_AGENT_H
#define KWB_AGENT_AGENT_H

#include <stdatomic.h>

#include <sys/queue.h>

#include "kwb.h"
#include "../wire/wire.h"

struct mg_context;

enum job_state { JOB_WAITING, JOB_RUNNING, JOB_DONE, JOB_BARRED };

/* A link and request id that want a job's output. */
struct attachment {
	uint64_t link;
	uint64_t request;
	uint32_t sent_tokens;
};

/* One request, found by its key; under the lock of its journal shard. */
struct job {
	TAILQ_ENTRY(job) in_shard;
	TAILQ_ENTRY(job) in_queue;
	enum job_state state;
	char key[KWB_KEY_MAX_BYTES];
	char plan[KWB_NAME_MAX_BYTES];
	Kwb__Wire__Frame *frame; /* holds the Run; owned; NULL when barred */
	uint32_t attempt;	 /* of a sample, the highest that asked */
	uint64_t deadline_ns;
	uint64_t slack_deadline_ns;
	uint64_t
	    start_deadline_ns; /* deadline for a start, then it is refused */
	bool is_wait_over;
	uint64_t retained_until_ns; /* deadline for keeping a finished job */
	uint64_t
	    orphan_deadline_ns;	   /* deadline to be adopted; 0 when attached */
	uint64_t next_progress_ns; /* next time for progress */
	_Atomic bool cancelled;
	struct kwb_tokens tokens;
	enum kwb_outcome outcome;
	int error;
	uint32_t status;
	char content_type[KWB_NAME_MAX_BYTES];
	struct kwb_buf body;
	size_t retained_bytes;
	unsigned attachments_count;
	struct attachment attachments[KWB_JOB_ATTACHMENTS_MAX];
};

TAILQ_HEAD(job_list, job);

struct journal_shard {
	pthread_mutex_t lock;
	struct job_list jobs;
};

/* Highest step and attempt a plan's trainer has named. */
struct step_fence {
	char plan[KWB_NAME_MAX_BYTES];
	uint64_t step;
	uint32_t attempt;
};

struct journal {
	struct journal_shard shards[KWB_SHARDS];
	_Atomic uint32_t count;
	_Atomic size_t retained_bytes;
	pthread_mutex_t fences_lock;
	struct step_fence fences[KWB_PLANS_MAX];
};

struct plan_use {
	char plan[KWB_NAME_MAX_BYTES];
	uint32_t units; /* share of the allowance held here */
	uint32_t running;
	uint32_t waiting;
};

/* Jobs that wait for a worker, and what each plan uses. */
struct run_queue {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct job_list waiting;
	uint32_t waiting_count;
	uint32_t running_count;
	uint32_t
	    lingering_count; /* of them, broken off, perhaps still running */
	bool stopping;
	struct plan_use plans[KWB_PLANS_MAX];
	unsigned plans_count;
};

struct model_state {
	char model[KWB_NAME_MAX_BYTES];
	uint64_t version;
	bool swapping;
};

struct upstream_state {
	pthread_mutex_t lock;
	bool up;
	uint32_t running; /* as the upstream reports it */
	unsigned failures_in_row;
	unsigned models_count;
	struct model_state models[KWB_MODELS_MAX];
};

/* Highest fencing token seen for a plan's weight orders. */
struct order_fence {
	char plan[KWB_NAME_MAX_BYTES];
	bool known;
	uint64_t token;
};

struct order {
	STAILQ_ENTRY(order) next;
	uint64_t link;
	uint64_t deadline_ns;
	Kwb__Wire__Frame *frame;
};

STAILQ_HEAD(order_list, order);

struct orders {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct order_list waiting;
	struct order_fence fences[KWB_PLANS_MAX];
	unsigned fences_count;
};

struct kwb_agent {
	const struct kwb_agent_settings *settings;
	uint64_t incarnation;
	struct kwb_platform platform;
	struct kwb_loop loop;
	struct journal journal;
	struct run_queue queue;
	struct upstream_state upstream;
	struct orders orders;
	_Atomic bool is_draining;	   /* a planned stop began */
	_Atomic uint64_t leaving_since_ns; /* when leaving began; 0 when not */
	_Atomic uint64_t
	    listed_leaving_until_ns; /* deadline of "listed as leaving" */
	_Atomic uint64_t
	    status_until_ns; /* status goes out with beats until then */
	_Atomic bool has_load_changed;
	_Atomic uint32_t unchanged_heartbeats;
	_Atomic bool stopping;
	pthread_t monitor_thread;
	pthread_t order_thread;
	pthread_t share_thread;
	pthread_t *workers;
	unsigned workers_count;
	struct mg_context *http; /* NULL without a metrics address */
};

/* journal.c */
void journal_init(struct journal *journal);
void journal_finish(struct journal *journal);
struct journal_shard *journal_lock(struct journal *journal, const char *key);
void journal_unlock(struct journal_shard *shard);
struct job *journal_find(struct journal_shard *shard, const char *key);
struct job *journal_add(
    struct journal *journal, struct journal_shard *shard, const char *key);
void journal_remove(
    struct journal *journal, struct journal_shard *shard, struct job *job);
bool journal_is_full(const struct journal *journal);
void journal_retain(struct journal *journal, struct job *job);
int journal_raise_fence(
    struct journal *journal, const char *plan, uint64_t step, uint32_t attempt);
bool job_attach(
    struct job *job, uint64_t link, uint64_t request, uint32_t sent_tokens);
bool job_detach(struct job *job, uint64_t link, uint64_t request);
const Kwb__Wire__Slot *job_slot(const struct job *job);
bool job_is_sample(const struct job *job);

/* agent.c */
bool agent_is_leaving(struct kwb_agent *agent);

/* handle.c: frames from entries */
void handle_run(
    struct kwb_agent *agent, uint64_t link, Kwb__Wire__Frame *frame);
void handle_query(
    struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Query *query);
void handle_cancel(
    struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Cancel *cancel);
void handle_find(
    struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Find *find);
void handle_link_closed(struct kwb_agent *agent, uint64_t link);
void jobs_expire(struct kwb_agent *agent);
void job_send_progress(struct kwb_agent *agent, struct job *job);
void job_send_done(struct kwb_agent *agent, struct job *job);

/* run.c: queue and workers */
int run_start(struct kwb_agent *agent);
void run_stop(struct kwb_agent *agent);
int queue_check_admission(struct kwb_agent *agent, const Kwb__Wire__Run *run);
void queue_add_job(struct kwb_agent *agent, struct job *job);
uint32_t queue_count_jobs(struct kwb_agent *agent);
uint32_t queue_count_active(struct kwb_agent *agent); /* running, not ending */
void queue_set_units(struct kwb_agent *agent, const char *plan, uint32_t units);
uint32_t queue_count_running(struct kwb_agent *agent, const char *plan);

/* upstream.c: engine or service client */
void upstream_generate(struct kwb_agent *agent, struct job *job);
void upstream_call(struct kwb_agent *agent, struct job *job);
bool upstream_request_has_ended(struct kwb_agent *agent, const char *key);
void upstream_poll(struct kwb_agent *agent);
bool upstream_find_model(
    struct kwb_agent *agent, const char *model, struct model_state *state);

/* order.c: fenced weight orders */
void order_accept(
    struct kwb_agent *agent, uint64_t link, Kwb__Wire__Frame *frame);
void *order_run(void *argument);

/* http.c */
int agent_http_start(struct kwb_agent *agent);
void agent_http_stop(struct kwb_agent *agent);

/* share_keeper.c: this agent's part of each plan's allowance */
void *share_run(void *argument);
void share_leave(struct kwb_agent *agent);

#endif
