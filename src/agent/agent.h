/*
 * Internal header of an agent, the process that runs requests at one upstream.
 * It takes requests from entries over links, queues them, runs them at the
 * upstream and sends their output back.
 */
#ifndef KWB_AGENT_AGENT_H
#define KWB_AGENT_AGENT_H

#include <stdatomic.h>

#include <sys/queue.h>

#include "kwb.h"
#include "../wire/wire.h"

struct mg_context;

enum job_state {
	JOB_WAITING, /* in the queue */
	JOB_RUNNING, /* a worker has it */
	JOB_DONE,    /* ended; kept for repeated requests */
	JOB_BARRED   /* reported as not run, so its key must never run */
};

/* A request of an entry that receives a job's output. */
struct attachment {
	uint64_t link;
	uint64_t request;     /* its id on the link */
	uint32_t sent_tokens; /* tokens of the job that the entry has */
};

/*
 * A request, a plain call or a generation, found by its key. Guarded by the
 * lock of its journal shard.
 */
struct job {
	TAILQ_ENTRY(job) in_shard;
	TAILQ_ENTRY(job) in_queue; /* guarded by the queue's lock */
	enum job_state state;
	char key[KWB_KEY_MAX_BYTES];
	char plan[KWB_NAME_MAX_BYTES];
	Kwb__Wire__Frame *frame; /* holds the Run; owned; NULL when barred */
	uint32_t attempt;	 /* of a sample: highest that requested it */
	uint64_t deadline_ns;
	uint64_t slack_deadline_ns; /* the earliest starts first */
	uint64_t start_deadline_ns; /* refused if it hasn't started by then */
	bool is_wait_over;	    /* left the queue only to be refused */
	uint64_t retained_until_ns; /* of one that is done or barred */
	/*
	 * A sample that no request is attached to is cancelled then; other
	 * generations at once, plain calls never. 0 while one is attached.
	 */
	uint64_t orphan_deadline_ns;
	uint64_t next_progress_ns; /* of a sample: no progress before */
	_Atomic bool cancelled;
	struct kwb_tokens tokens; /* begin with those it was resumed with */
	enum kwb_outcome outcome;
	int error;	 /* 0 or why it didn't run to its end */
	uint32_t status; /* HTTP status of the answer */
	char content_type[KWB_NAME_MAX_BYTES];
	struct kwb_buf body;   /* of a plain call's answer */
	size_t retained_bytes; /* counted for it in its journal */
	unsigned attachments_count;
	struct attachment attachments[KWB_JOB_ATTACHMENTS_MAX];
};

TAILQ_HEAD(job_list, job);

struct journal_shard {
	pthread_mutex_t lock;
	struct job_list jobs;
};

/*
 * Highest step that a plan's trainer has asked for, and highest attempt at that
 * step. Lower attempts are refused, and samples of earlier steps are removed.
 */
struct step_fence {
	char plan[KWB_NAME_MAX_BYTES]; /* empty when the slot is free */
	uint64_t step;
	uint32_t attempt;
};

/* All jobs of this process by key. */
struct journal {
	struct journal_shard shards[KWB_SHARDS]; /* by the hash of the key */
	_Atomic uint32_t count;			 /* jobs in all shards */
	_Atomic size_t retained_bytes;		 /* of finished jobs */
	pthread_mutex_t fences_lock;
	struct step_fence fences[KWB_PLANS_MAX];
};

/* What a plan holds and uses at this agent. */
struct plan_use {
	char plan[KWB_NAME_MAX_BYTES];
	uint32_t units;	  /* share of the plan's allowance held here */
	uint32_t running; /* jobs that use a unit */
	uint32_t waiting; /* jobs in the queue */
};

/* Jobs that wait for a worker, and what each plan uses. */
struct run_queue {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct job_list waiting;
	uint32_t waiting_count;
	uint32_t running_count; /* jobs that use a slot of the upstream */
	/* Of the running: already answered, but the upstream may go on. */
	uint32_t lingering_count;
	bool stopping; /* workers end */
	struct plan_use plans[KWB_PLANS_MAX];
	unsigned plans_count;
};

/* Weights of a model at the upstream. */
struct model_state {
	char model[KWB_NAME_MAX_BYTES];
	uint64_t version;
	bool swapping; /* the upstream is loading another version */
};

/* State of the upstream at the last poll. */
struct upstream_state {
	pthread_mutex_t lock;
	bool up;
	uint32_t running;	  /* requests, as the upstream reports them */
	unsigned failures_in_row; /* of polls */
	unsigned models_count;
	struct model_state models[KWB_MODELS_MAX];
};

/* Highest fencing token seen in the weight orders of a plan. */
struct order_fence {
	char plan[KWB_NAME_MAX_BYTES];
	bool known; /* the token has been read from the table */
	uint64_t token;
};

/* A weight order: makes the upstream load a version of a model. */
struct order {
	STAILQ_ENTRY(order) next;
	uint64_t link; /* gets the reply */
	uint64_t deadline_ns;
	Kwb__Wire__Frame *frame; /* holds the Order; owned */
};

STAILQ_HEAD(order_list, order);

/* Weight orders that wait for the order thread. */
struct orders {
	pthread_mutex_t lock; /* guards waiting */
	pthread_cond_t changed;
	struct order_list waiting;
	struct order_fence fences[KWB_PLANS_MAX]; /* of the order thread */
	unsigned fences_count;
};

struct kwb_agent {
	const struct kwb_agent_settings *settings;
	uint64_t incarnation; /* tells this start of the agent from others */
	struct kwb_platform platform;
	struct kwb_loop loop; /* links from entries */
	struct journal journal;
	struct run_queue queue;
	struct upstream_state upstream;
	struct orders orders;
	_Atomic bool is_draining;	   /* a graceful shutdown has begun */
	_Atomic uint64_t leaving_since_ns; /* 0 when not leaving */
	/* Until then, counts as leaving or missing in the platform's list. */
	_Atomic uint64_t listed_leaving_until_ns;
	_Atomic uint64_t status_until_ns; /* heartbeats carry a status */
	_Atomic bool has_load_changed;	  /* within a heartbeat's period */
	/* Heartbeats while there was nothing new to report. */
	_Atomic uint32_t unchanged_heartbeats;
	_Atomic bool stopping; /* threads end */
	pthread_t monitor_thread;
	pthread_t order_thread;
	pthread_t share_thread;
	pthread_t *workers;
	unsigned workers_count;
	struct mg_context *http; /* NULL without a metrics address */
};

/* journal.c: jobs by key, so that a repeated request doesn't run again */
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

/* agent.c: start, stop, links and status */
bool agent_is_leaving(struct kwb_agent *agent);

/* handle.c: requests of entries, and the output that is sent to them */
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

/* run.c: the queue of jobs, and the worker threads that run them */
int run_start(struct kwb_agent *agent);
void run_stop(struct kwb_agent *agent);
int queue_check_admission(struct kwb_agent *agent, const Kwb__Wire__Run *run);
void queue_add_job(struct kwb_agent *agent, struct job *job);
uint32_t queue_count_jobs(struct kwb_agent *agent);
uint32_t queue_count_active(struct kwb_agent *agent);
void queue_set_units(struct kwb_agent *agent, const char *plan, uint32_t units);
uint32_t queue_count_running(struct kwb_agent *agent, const char *plan);

/* upstream.c: HTTP client of the upstream, an engine or a plain service */
void upstream_generate(struct kwb_agent *agent, struct job *job);
void upstream_call(struct kwb_agent *agent, struct job *job);
bool upstream_request_has_ended(struct kwb_agent *agent, const char *key);
void upstream_poll(struct kwb_agent *agent);
bool upstream_find_model(
    struct kwb_agent *agent, const char *model, struct model_state *state);

/* order.c: weight orders, checked by their fencing tokens */
void order_accept(
    struct kwb_agent *agent, uint64_t link, Kwb__Wire__Frame *frame);
void *order_run(void *argument);

/* http.c: metrics and health for monitoring */
int agent_http_start(struct kwb_agent *agent);
void agent_http_stop(struct kwb_agent *agent);

/* share_keeper.c: this agent's units of each plan's allowance */
void *share_run(void *argument);
void share_leave(struct kwb_agent *agent);

#endif
