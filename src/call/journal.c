/*
 * Journal of an agent, in memory: the jobs of this process by key, so that a
 * repeated request finds its job instead of running again. Keys are spread over
 * shards, each under its own lock.
 */
#include <stdlib.h>
#include <string.h>

#include "../agent/agent.h"

static void job_free(struct job *job);

void
journal_init(struct journal *journal)
{
	unsigned i;

	memset(journal, 0, sizeof(*journal));
	pthread_mutex_init(&journal->fences_lock, NULL);
	for (i = 0; i < KWB_SHARDS; i++) {
		pthread_mutex_init(&journal->shards[i].lock, NULL);
		TAILQ_INIT(&journal->shards[i].jobs);
	}
}

void
journal_finish(struct journal *journal)
{
	struct job *job;
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++) {
		struct journal_shard *shard = &journal->shards[i];

		while ((job = TAILQ_FIRST(&shard->jobs)) != NULL)
			journal_remove(journal, shard, job);
		pthread_mutex_destroy(&shard->lock);
	}
	pthread_mutex_destroy(&journal->fences_lock);
}

/* Locks the shard that holds a key. */
struct journal_shard *
journal_lock(struct journal *journal, const char *key)
{
	struct journal_shard *shard =
	    &journal->shards[kwb_hash(key, 0) % KWB_SHARDS];

	pthread_mutex_lock(&shard->lock);
	return shard;
}

void
journal_unlock(struct journal_shard *shard)
{
	pthread_mutex_unlock(&shard->lock);
}

/* The job of a key in its locked shard; NULL for none. */
struct job *
journal_find(struct journal_shard *shard, const char *key)
{
	struct job *job;

	TAILQ_FOREACH (job, &shard->jobs, in_shard)
		if (strcmp(job->key, key) == 0)
			return job;
	return NULL;
}

/* Adds a job without a request to a locked shard; NULL if out of memory. */
struct job *
journal_add(
    struct journal *journal, struct journal_shard *shard, const char *key)
{
	struct job *job = calloc(1, sizeof(*job));

	if (job == NULL)
		return NULL;
	kwb_text_copy(job->key, sizeof(job->key), key);
	kwb_tokens_init(&job->tokens);
	kwb_buf_init(&job->body);
	TAILQ_INSERT_HEAD(&shard->jobs, job, in_shard);
	atomic_fetch_add(&journal->count, 1);
	return job;
}

void
journal_remove(
    struct journal *journal, struct journal_shard *shard, struct job *job)
{
	TAILQ_REMOVE(&shard->jobs, job, in_shard);
	atomic_fetch_sub(&journal->count, 1);
	atomic_fetch_sub(&journal->retained_bytes, job->retained_bytes);
	job_free(job);
}

/*
 * New keys are refused while the journal is full. No call is forgotten early to
 * make room, because a retry could then run it again.
 */
bool
journal_is_full(const struct journal *journal)
{
	return atomic_load(&journal->count) >= KWB_JOURNAL_JOBS_MAX ||
	    atomic_load(&journal->retained_bytes) >= KWB_JOURNAL_MAX_BYTES;
}

/*
 * Counts a finished job's memory and sets the time at which it is forgotten.
 * Called under its shard's lock.
 */
void
journal_retain(struct journal *journal, struct job *job)
{
	size_t bytes = job->body.capacity_bytes;
	uint32_t i;

	for (i = 0; i < job->tokens.count; i++)
		bytes += strlen(job->tokens.text[i]) + 1 + sizeof(char *) +
		    sizeof(uint64_t);
	job->retained_bytes = bytes;
	job->retained_until_ns =
	    kwb_clock_now_ns() + KWB_JOB_RETENTION_MS * KWB_MS_NS;
	atomic_fetch_add(&journal->retained_bytes, bytes);
}

/*
 * Raises a plan's fence to a step and attempt. KWB_ERR_CALL_FENCED for a lower
 * attempt of the same step. Samples of earlier steps are removed by
 * jobs_expire().
 */
int
journal_raise_fence(
    struct journal *journal, const char *plan, uint64_t step, uint32_t attempt)
{
	struct step_fence *fence = NULL;
	unsigned i;
	int error = 0;

	pthread_mutex_lock(&journal->fences_lock);
	for (i = 0; i < KWB_PLANS_MAX && fence == NULL; i++)
		if (strcmp(journal->fences[i].plan, plan) == 0 ||
		    journal->fences[i].plan[0] == '\0')
			fence = &journal->fences[i];
	if (fence == NULL) {
		error = KWB_ERR_MEMORY;
	} else if (step == fence->step && attempt < fence->attempt) {
		error = KWB_ERR_CALL_FENCED;
	} else if (step >= fence->step) {
		kwb_text_copy(fence->plan, sizeof(fence->plan), plan);
		fence->step = step;
		fence->attempt = attempt;
	}
	pthread_mutex_unlock(&journal->fences_lock);
	return error;
}

/* Attaches a request to a job's output; false if it has no room for more. */
bool
job_attach(
    struct job *job, uint64_t link, uint64_t request, uint32_t sent_tokens)
{
	struct attachment *attachment;

	if (job->attachments_count == KWB_JOB_ATTACHMENTS_MAX)
		return false;
	attachment = &job->attachments[job->attachments_count++];
	attachment->link = link;
	attachment->request = request;
	attachment->sent_tokens = sent_tokens;
	job->orphan_deadline_ns = 0;
	return true;
}

/*
 * Detaches a request of the link, or all of them if request is 0. Returns
 * whether any was attached.
 */
bool
job_detach(struct job *job, uint64_t link, uint64_t request)
{
	struct attachment *attachment;
	unsigned i = 0;
	bool found = false;

	while (i < job->attachments_count) {
		attachment = &job->attachments[i];
		if (attachment->link != link ||
		    (request != 0 && attachment->request != request)) {
			i++;
			continue;
		}
		*attachment = job->attachments[--job->attachments_count];
		found = true;
	}
	if (found && job->attachments_count == 0)
		job->orphan_deadline_ns =
		    kwb_clock_now_ns() + KWB_JOB_ORPHAN_NS;
	return found;
}

/* The position of a sample in its step; NULL for other jobs. */
const Kwb__Wire__Slot *
job_slot(const struct job *job)
{
	return job->frame != NULL ? job->frame->run->slot : NULL;
}

bool
job_is_sample(const struct job *job)
{
	return job_slot(job) != NULL;
}

static void
job_free(struct job *job)
{
	kwb_frame_free(job->frame);
	kwb_tokens_finish(&job->tokens);
	kwb_buf_finish(&job->body);
	free(job);
}
