/*
 * Queue and workers of an agent. A job starts when its plan holds a free unit
 * of its allowance here and the upstream has a free slot; interactive work
 * goes first, then the job with the least slack.
 */
#include <stdlib.h>
#include <string.h>

#include "agent.h"

#define WAITING_PRIORITY_MAX 0
#define WAITING_MAX 1
#define IDLE_WAIT_NS (1000 * KWB_MS_NS)
#define QUEUE_WAIT_NS (5 * KWB_MS_NS)
#define WAIT_PRIORITY_NS (20 * KWB_MS_NS)
#define WAIT_NS (60 * KWB_MS_NS)
#define ENDING_NS (60000 * KWB_MS_NS)
#define ENDING_POLL_NS (100 * KWB_MS_NS)

static void *worker_run(void *argument);
static struct job *take_next(struct kwb_agent *agent);
static struct job *best_waiting(struct kwb_agent *agent);
static bool may_start(const struct kwb_agent *agent, const struct job *job,
    const struct plan_use *use);
static bool goes_before(const struct job *a, const struct job *b);
static struct plan_use *plan_use(struct run_queue *queue, const char *plan);
static bool begin(struct kwb_agent *agent, struct job *job);
static void finish(struct kwb_agent *agent, struct job *job);
static void await_ended(struct kwb_agent *agent, const char *key);
static void place_release(struct kwb_agent *agent, const char *plan);

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

/* Whether there is a chance of a prompt start; 0 or a typed refusal. */
int
run_admit(struct kwb_agent *agent, const Kwb__Wire__Run *run)
{
	struct run_queue *queue = &agent->queue;
	const struct plan_use *use;
	uint32_t waiting_max =
	    run->priority > 0 ? WAITING_PRIORITY_MAX : WAITING_MAX;
	int error = 0;

	pthread_mutex_lock(&queue->lock);
	use = plan_use(queue, run->plan);
	if (use == NULL || use->units == 0 ||
	    use->running + use->waiting >= use->units + waiting_max)
		error = KWB_ERR_CALL_BUSY;
	pthread_mutex_unlock(&queue->lock);
	return error;
}

void
run_enqueue(struct kwb_agent *agent, struct job *job)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;

	job->wait_ns = kwb_clock_now_ns() +
	    (job->frame->run->priority ? WAIT_PRIORITY_NS : WAIT_NS);
	pthread_mutex_lock(&queue->lock);
	TAILQ_INSERT_TAIL(&queue->waiting, job, in_queue);
	queue->waiting_count++;
	use = plan_use(queue, job->plan);
	use->waiting++;
	pthread_cond_signal(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
}

uint32_t
run_busy(struct kwb_agent *agent)
{
	uint32_t busy;

	pthread_mutex_lock(&agent->queue.lock);
	busy = agent->queue.running_count + agent->queue.waiting_count;
	pthread_mutex_unlock(&agent->queue.lock);
	return busy;
}

uint32_t
run_accounted(struct kwb_agent *agent)
{
	uint32_t count;

	pthread_mutex_lock(&agent->queue.lock);
	count = agent->queue.running_count - agent->queue.ending_count;
	pthread_mutex_unlock(&agent->queue.lock);
	return count;
}

void
run_set_units(struct kwb_agent *agent, const char *plan, uint32_t units)
{
	struct plan_use *use;

	pthread_mutex_lock(&agent->queue.lock);
	use = plan_use(&agent->queue, plan);
	if (use != NULL)
		use->units = units;
	pthread_cond_broadcast(&agent->queue.changed);
	pthread_mutex_unlock(&agent->queue.lock);
}

uint32_t
run_plan_running(struct kwb_agent *agent, const char *plan)
{
	struct plan_use *use;
	uint32_t running;

	pthread_mutex_lock(&agent->queue.lock);
	use = plan_use(&agent->queue, plan);
	running = use ? use->running : 0;
	pthread_mutex_unlock(&agent->queue.lock);
	return running;
}

static void *
worker_run(void *argument)
{
	struct kwb_agent *agent = argument;
	struct job *job;

	kwb_current_lists_register_thread();
	while ((job = take_next(agent)) != NULL) {
		if (begin(agent, job)) {
			if (agent->settings->upstream_kind ==
			    KWB_UPSTREAM_ENGINE)
				upstream_generate(agent, job);
			else
				upstream_call(agent, job);
		}
		finish(agent, job);
	}
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* Waits for a job that may start; counts it as running; NULL at the end. */
static struct job *
take_next(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;
	struct job *best;

	pthread_mutex_lock(&queue->lock);
	for (;;) {
		best = best_waiting(agent);
		if (best != NULL || queue->stopping)
			break;
		kwb_cond_wait_until(&queue->changed, &queue->lock,
		    kwb_clock_now_ns() +
			(queue->waiting_count ? QUEUE_WAIT_NS : IDLE_WAIT_NS));
	}
	if (best != NULL) {
		TAILQ_REMOVE(&queue->waiting, best, in_queue);
		queue->waiting_count--;
		queue->running_count++;
		use = plan_use(queue, best->plan);
		use->waiting--;
		use->running++;
	}
	pthread_mutex_unlock(&queue->lock);
	return best;
}

/*
 * The job to start next. One that has waited too long is taken as well, to be
 * refused: its entry may know a better place.
 */
static struct job *
best_waiting(struct kwb_agent *agent)
{
	struct run_queue *queue = &agent->queue;
	uint64_t now_ns = kwb_clock_now_ns();
	struct job *job, *best = NULL;

	TAILQ_FOREACH (job, &queue->waiting, in_queue)
		if (may_start(agent, job, plan_use(queue, job->plan)) &&
		    (best == NULL || goes_before(job, best)))
			best = job;
	if (best != NULL)
		return best;
	TAILQ_FOREACH (job, &queue->waiting, in_queue)
		if (now_ns >= job->wait_ns || atomic_load(&job->cancelled)) {
			job->waited_out = true;
			return job;
		}
	return NULL;
}

static bool
may_start(const struct kwb_agent *agent, const struct job *job,
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
goes_before(const struct job *a, const struct job *b)
{
	if (a->frame->run->priority != b->frame->run->priority)
		return a->frame->run->priority > b->frame->run->priority;
	return a->slack_deadline_ns < b->slack_deadline_ns;
}

/* The plan's use here, made on first sight; NULL when the table is full. */
static struct plan_use *
plan_use(struct run_queue *queue, const char *plan)
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

/* Last check before the upstream sees the job. */
static bool
begin(struct kwb_agent *agent, struct job *job)
{
	struct journal_shard *shard = journal_lock(&agent->journal, job->key);
	int error = 0;

	if (atomic_load(&job->cancelled))
		error = KWB_ERR_CALL_CANCELLED;
	else if (job->waited_out)
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
 * Reports the outcome. Kept are plain calls, for retries of their key, and
 * whole samples, for a later attempt of their step. The place is given back
 * last, once the upstream surely no longer runs the request.
 */
static void
finish(struct kwb_agent *agent, struct job *job)
{
	char key[KWB_KEY_MAX_BYTES], plan[KWB_NAME_MAX_BYTES];
	struct journal_shard *shard;
	bool generation, broken;

	shard = journal_lock(&agent->journal, job->key);
	kwb_text_copy(key, sizeof(key), job->key);
	kwb_text_copy(plan, sizeof(plan), job->plan);
	generation = job->frame->run->model[0] != '\0';
	broken = job->outcome == KWB_OUTCOME_PARTIAL ||
	    job->outcome == KWB_OUTCOME_UNKNOWN;
	job->state = JOB_DONE;
	kwb_log(KWB_LOG_INFO, "agent",
	    "event=done key=%s plan=%s outcome=%s error=%s tokens=%u", key,
	    plan, kwb_outcome_name(job->outcome), kwb_error_name(job->error),
	    job->tokens.count);
	job_send_done(agent, job);
	if (generation &&
	    (job->outcome != KWB_OUTCOME_RAN || !job_is_sample(job)))
		journal_remove(&agent->journal, shard, job);
	else if (job->outcome == KWB_OUTCOME_NOT_RUN)
		journal_remove(&agent->journal, shard, job);
	else
		journal_retain(&agent->journal, job);
	journal_unlock(shard);
	if (broken)
		await_ended(agent, key);
	place_release(agent, plan);
}

static void
await_ended(struct kwb_agent *agent, const char *key)
{
	uint64_t give_up_ns = kwb_clock_now_ns() + ENDING_NS;

	pthread_mutex_lock(&agent->queue.lock);
	agent->queue.ending_count++;
	pthread_mutex_unlock(&agent->queue.lock);
	while (!upstream_ended(agent, key) && kwb_clock_now_ns() < give_up_ns &&
	    !agent->queue.stopping)
		kwb_clock_sleep_ns(ENDING_POLL_NS);
	pthread_mutex_lock(&agent->queue.lock);
	agent->queue.ending_count--;
	pthread_mutex_unlock(&agent->queue.lock);
}

static void
place_release(struct kwb_agent *agent, const char *plan)
{
	struct run_queue *queue = &agent->queue;
	struct plan_use *use;

	pthread_mutex_lock(&queue->lock);
	queue->running_count--;
	use = plan_use(queue, plan);
	use->running--;
	pthread_cond_broadcast(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
}
