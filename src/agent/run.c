/*
 * Queue and workers of an agent. A job starts when its plan has a free unit of
 * its allowance here and the upstream has a free slot. Interactive jobs start
 * first, then those with the least slack.
 */
#include <stdlib.h>
#include <string.h>

#include "agent.h"

/* Jobs that may wait beyond a plan's units. */
#define INTERACTIVE_WAITING_MAX 0
#define WAITING_MAX 1
/* Longest sleep of a worker, with an empty queue and with waiting jobs. */
#define IDLE_POLL_NS (1000 * KWB_MS_NS)
#define WAITING_POLL_NS (5 * KWB_MS_NS)
/* A job that has waited so long is refused. */
#define INTERACTIVE_START_TIMEOUT_NS (20 * KWB_MS_NS)
#define START_TIMEOUT_NS (60 * KWB_MS_NS)
/* How long a slot stays taken when the upstream doesn't confirm the end. */
#define LINGER_MAX_NS (60000 * KWB_MS_NS)
#define LINGER_POLL_NS (100 * KWB_MS_NS)

static void *worker_run(void *argument);
static struct job *take_next_job(struct kwb_agent *agent);
static struct job *choose_waiting_job(struct kwb_agent *agent);
static bool can_start(const struct kwb_agent *agent, const struct job *job,
    const struct plan_use *use);
static bool starts_before(const struct job *a, const struct job *b);
static struct plan_use *plan_use_find_or_add(
    struct run_queue *queue, const char *plan);
static bool begin_job(struct kwb_agent *agent, struct job *job);
static void finish_job(struct kwb_agent *agent, struct job *job);
static void wait_until_ended(struct kwb_agent *agent, const char *key);
static void release_slot(struct kwb_agent *agent, const char *plan);

/* Starts a worker for each slot. KWB_ERR_MEMORY or KWB_ERR_SYSTEM. */
int
run_start(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	unsigned i;

	pthread_mutex_init(&queue->lock, NULL);
	kwb_cond_init(&queue->changed);
	TAILQ_INIT(&queue->waiting);
	agent->workers_count = agent->settings->slots;
	agent->workers = calloc(agent->workers_count, sizeof(*agent->workers));
	if (agent->workers == NULL)
		return KWB_ERR_MEMORY;
	for (i = 0; i < agent->workers_count; i++)
		if (pthread_create(
			&agent->workers[i], NULL, worker_run, agent) != 0)
			return KWB_ERR_SYSTEM;
	return 0;
}

/* Ends the workers. Waits for the jobs that they are running. */
void
run_stop(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	unsigned i;

	pthread_mutex_lock(&queue->lock);
	queue->stopping = true;
	pthread_cond_broadcast(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
	for (i = 0; i < agent->workers_count; i++)
		pthread_join(agent->workers[i], NULL);
	free(agent->workers);
	pthread_cond_destroy(&queue->changed);
	pthread_mutex_destroy(&queue->lock);
}

/* Returns 0 if a request's job could start soon, else KWB_ERR_CALL_BUSY. */
int
queue_check_admission(struct kwb_agent *agent, const Kwb__Wire__Run *run)
{
	struct run_queue *queue = &agent->queue;
	const struct plan_use *use;
	uint32_t waiting_limit =
	    run->priority > 0 ? INTERACTIVE_WAITING_MAX : WAITING_MAX;
	int error = 0;

	pthread_mutex_lock(&queue->lock);
	use = plan_use_find_or_add(queue, run->plan);
	if (use == NULL || use->units == 0 ||
	    use->running + use->waiting >= use->units + waiting_limit)
		error = KWB_ERR_CALL_BUSY;
	pthread_mutex_unlock(&queue->lock);
	return error;
}

/* Queues a job. Called under its shard's lock. */
void
queue_add_job(struct kwb_agent *agent, struct job *job)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;

	job->start_deadline_ns = kwb_clock_now_ns() +
	    (job->frame->run->priority ? INTERACTIVE_START_TIMEOUT_NS
				       : START_TIMEOUT_NS);
	pthread_mutex_lock(&queue->lock);
	TAILQ_INSERT_TAIL(&queue->waiting, job, in_queue);
	queue->waiting_count++;
	use = plan_use_find_or_add(queue, job->plan);
	use->waiting++;
	pthread_cond_signal(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
}

/* The number of running and waiting jobs. */
uint32_t
queue_count_jobs(struct kwb_agent *agent)
{
	uint32_t count;

	pthread_mutex_lock(&agent->queue.lock);
	count = agent->queue.running_count + agent->queue.waiting_count;
	pthread_mutex_unlock(&agent->queue.lock);
	return count;
}

/* The number of running jobs without the lingering ones. */
uint32_t
queue_count_active(struct kwb_agent *agent)
{
	uint32_t count;

	pthread_mutex_lock(&agent->queue.lock);
	count = agent->queue.running_count - agent->queue.lingering_count;
	pthread_mutex_unlock(&agent->queue.lock);
	return count;
}

/* Sets how many jobs of a plan may run. Ignored if there are too many plans. */
void
queue_set_units(struct kwb_agent *agent, const char *plan, uint32_t units)
{
	struct plan_use *use;

	pthread_mutex_lock(&agent->queue.lock);
	use = plan_use_find_or_add(&agent->queue, plan);
	if (use != NULL)
		use->units = units;
	pthread_cond_broadcast(&agent->queue.changed);
	pthread_mutex_unlock(&agent->queue.lock);
}

/* The number of running jobs of a plan. */
uint32_t
queue_count_running(struct kwb_agent *agent, const char *plan)
{
	struct plan_use *use;
	uint32_t running;

	pthread_mutex_lock(&agent->queue.lock);
	use = plan_use_find_or_add(&agent->queue, plan);
	running = use ? use->running : 0;
	pthread_mutex_unlock(&agent->queue.lock);
	return running;
}

/* Thread that runs jobs one by one. */
static void *
worker_run(void *argument)
{
	struct kwb_agent *agent = argument;
	struct job *job;

	kwb_current_lists_register_thread();
	while ((job = take_next_job(agent)) != NULL) {
		if (begin_job(agent, job)) {
			if (agent->settings->upstream_kind ==
			    KWB_UPSTREAM_ENGINE)
				upstream_generate(agent, job);
			else
				upstream_call(agent, job);
		}
		finish_job(agent, job);
	}
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* Waits for a job and counts it as running; NULL when the agent stops. */
static struct job *
take_next_job(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;
	struct job *best;

	pthread_mutex_lock(&queue->lock);
	for (;;) {
		best = choose_waiting_job(agent);
		if (best != NULL || queue->stopping)
			break;
		kwb_cond_wait_until(&queue->changed, &queue->lock,
		    kwb_clock_now_ns() +
			(queue->waiting_count ? WAITING_POLL_NS
					      : IDLE_POLL_NS));
	}
	if (best != NULL) {
		TAILQ_REMOVE(&queue->waiting, best, in_queue);
		queue->waiting_count--;
		queue->running_count++;
		use = plan_use_find_or_add(queue, best->plan);
		use->waiting--;
		use->running++;
	}
	pthread_mutex_unlock(&queue->lock);
	return best;
}

/*
 * The job to take from the queue next; NULL for none. If none can start, it is
 * one to refuse, cancelled or waiting for too long, so that its entry can try
 * another agent.
 */
static struct job *
choose_waiting_job(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	uint64_t now_ns = kwb_clock_now_ns();
	struct job *job, *best = NULL;

	TAILQ_FOREACH (job, &queue->waiting, in_queue)
		if (can_start(
			agent, job, plan_use_find_or_add(queue, job->plan)) &&
		    (best == NULL || starts_before(job, best)))
			best = job;
	if (best != NULL)
		return best;
	TAILQ_FOREACH (job, &queue->waiting, in_queue)
		if (now_ns >= job->start_deadline_ns ||
		    atomic_load(&job->cancelled)) {
			job->is_wait_over = true;
			return job;
		}
	return NULL;
}

/* Whether the plan has a free unit and the upstream a slot for the job. */
static bool
can_start(const struct kwb_agent *agent, const struct job *job,
    const struct plan_use *use)
{
	const struct run_queue *queue = &agent->queue;
	uint32_t slots = agent->settings->slots;

	if (use == NULL)
		return false;
	if (job->frame->run->priority == 0)
		slots -= agent->settings->interactive_reserve;
	if (queue->running_count >= slots)
		return false;
	return use->running < use->units;
}

static bool
starts_before(const struct job *a, const struct job *b)
{
	if (a->frame->run->priority != b->frame->run->priority)
		return a->frame->run->priority > b->frame->run->priority;
	return a->slack_deadline_ns < b->slack_deadline_ns;
}

/* The use of a plan, added if missing; NULL if there are too many plans. */
static struct plan_use *
plan_use_find_or_add(struct run_queue *queue, const char *plan)
{
	struct plan_use *use;
	unsigned i;

	for (i = 0; i < queue->plans_count; i++)
		if (strcmp(queue->plans[i].plan, plan) == 0)
			return &queue->plans[i];
	if (queue->plans_count == KWB_PLANS_MAX)
		return NULL;
	use = &queue->plans[queue->plans_count++];
	memset(use, 0, sizeof(*use));
	kwb_text_copy(use->plan, sizeof(use->plan), plan);
	return use;
}

/* Checks a job once more and marks it as running; false to refuse it. */
static bool
begin_job(struct kwb_agent *agent, struct job *job)
{
	struct journal_shard *shard = journal_lock(&agent->journal, job->key);
	int error = 0;

	if (atomic_load(&job->cancelled))
		error = KWB_ERR_CALL_CANCELLED;
	else if (job->is_wait_over)
		error = KWB_ERR_CALL_BUSY;
	else if (kwb_clock_now_ns() >= job->deadline_ns)
		error = KWB_ERR_CALL_DEADLINE;
	else if (job->frame->run->lists_revision < kwb_current_lists_revision())
		error = KWB_ERR_CALL_STALE_LISTS;
	job->outcome = KWB_OUTCOME_NOT_RUN;
	job->error = error;
	if (error == 0)
		job->state = JOB_RUNNING;
	journal_unlock(shard);
	return error == 0;
}

/*
 * Sends the outcome and ends a job. Plain calls stay in the journal for retries
 * of their key, and complete samples for a later attempt at their step. The
 * slot is released last, when the upstream no longer runs the request.
 */
static void
finish_job(struct kwb_agent *agent, struct job *job)
{
	char key[KWB_KEY_MAX_BYTES], plan[KWB_NAME_MAX_BYTES];
	struct journal_shard *shard;
	bool is_generation, may_linger;

	shard = journal_lock(&agent->journal, job->key);
	kwb_text_copy(key, sizeof(key), job->key);
	kwb_text_copy(plan, sizeof(plan), job->plan);
	is_generation = job->frame->run->model[0] != '\0';
	may_linger = job->outcome == KWB_OUTCOME_PARTIAL ||
	    job->outcome == KWB_OUTCOME_UNKNOWN;
	job->state = JOB_DONE;
	kwb_log(KWB_LOG_INFO, "agent",
	    "event=done key=%s plan=%s outcome=%s error=%s tokens=%u", key,
	    plan, kwb_outcome_name(job->outcome), kwb_error_name(job->error),
	    job->tokens.count);
	job_send_done(agent, job);
	if (is_generation &&
	    (job->outcome != KWB_OUTCOME_RAN || !job_is_sample(job)))
		journal_remove(&agent->journal, shard, job);
	else if (job->outcome == KWB_OUTCOME_NOT_RUN)
		journal_remove(&agent->journal, shard, job);
	else
		journal_retain(&agent->journal, job);
	journal_unlock(shard);
	if (may_linger)
		wait_until_ended(agent, key);
	release_slot(agent, plan);
}

/*
 * Waits until the upstream no longer runs a request that was given up, but at
 * most LINGER_MAX_NS.
 */
static void
wait_until_ended(struct kwb_agent *agent, const char *key)
{
	uint64_t deadline_ns = kwb_clock_now_ns() + LINGER_MAX_NS;

	pthread_mutex_lock(&agent->queue.lock);
	agent->queue.lingering_count++;
	pthread_mutex_unlock(&agent->queue.lock);
	while (!upstream_request_has_ended(agent, key) &&
	    kwb_clock_now_ns() < deadline_ns && !agent->queue.stopping)
		kwb_clock_sleep_ns(LINGER_POLL_NS);
	pthread_mutex_lock(&agent->queue.lock);
	agent->queue.lingering_count--;
	pthread_mutex_unlock(&agent->queue.lock);
}

static void
release_slot(struct kwb_agent *agent, const char *plan)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;

	pthread_mutex_lock(&queue->lock);
	queue->running_count--;
	use = plan_use_find_or_add(queue, plan);
	use->running--;
	pthread_cond_broadcast(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
}
