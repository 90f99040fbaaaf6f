/*
 * Frames from entries: Run, Query, Cancel and Find. A refused request gets a
 * Done frame with an error and an outcome: "not run" only if the request
 * surely never runs here. So a query for an unknown key bars the key before it
 * is answered, as a delayed Run could otherwise still start it.
 */
#include <stdlib.h>
#include <string.h>

#include "agent.h"

static int run_check_refusal(
    struct kwb_agent *agent, const Kwb__Wire__Run *run);
static void run_attach(struct kwb_agent *agent, uint64_t link, struct job *job,
    const Kwb__Wire__Run *run);
static void run_insert(struct kwb_agent *agent, struct journal_shard *shard,
    uint64_t link, Kwb__Wire__Frame *frame);
static void refuse(struct kwb_agent *agent, uint64_t link, uint64_t request,
    enum kwb_outcome outcome, int error);
static void refuse_with_load(struct kwb_agent *agent, uint64_t link,
    const Kwb__Wire__Run *run, int error);
static void send_lists(struct kwb_agent *agent, uint64_t link);
static void send_progress_to(
    struct kwb_agent *agent, struct job *job, struct attachment *attachment);
static void send_done_to(struct kwb_agent *agent, const struct job *job,
    const struct attachment *attachment);
static void job_send_state(struct kwb_agent *agent, struct job *job);
static bool job_expire(struct kwb_agent *agent, struct journal_shard *shard,
    struct job *job, uint64_t now_ns, bool is_handing_over);
static bool sample_is_outdated(struct journal *journal, const struct job *job);
static unsigned find_in_shard(struct journal_shard *shard,
    const Kwb__Wire__Find *find, Kwb__Wire__Held *held, unsigned held_capacity);
static bool held_fill(Kwb__Wire__Held *held, const struct job *job);

/*
 * Queues a request as a job, attaches it to the job that has its key, or
 * refuses it. Takes ownership of the frame.
 */
void
handle_run(struct kwb_agent *agent, uint64_t link, Kwb__Wire__Frame *frame)
{
	const Kwb__Wire__Run *run = frame->run;
	struct journal_shard *shard;
	struct job *job;
	int error;

	if (run->key[0] == '\0' || strlen(run->key) >= KWB_KEY_MAX_BYTES ||
	    strlen(run->plan) >= KWB_NAME_MAX_BYTES) {
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT);
		kwb_frame_free(frame);
		return;
	}
	shard = journal_lock(&agent->journal, run->key);
	job = journal_find(shard, run->key);
	if (run->lists_revision < kwb_current_lists_revision()) {
		kwb_metric_add(KWB_METRIC_REFUSED_STALE_LISTS, 1);
		send_lists(agent, link);
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_STALE_LISTS);
	} else if (run->agent_incarnation != agent->incarnation) {
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_INCARNATION);
	} else if (job != NULL) {
		run_attach(agent, link, job, run);
	} else if ((error = run_check_refusal(agent, run)) != 0) {
		refuse_with_load(agent, link, run, error);
	} else {
		run_insert(agent, shard, link, frame);
		frame = NULL;
	}
	journal_unlock(shard);
	kwb_frame_free(frame);
}

/* Attaches a request to the job of a key; bars the key if it has none. */
void
handle_query(
    struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Query *query)
{
	struct journal_shard *shard;
	struct job *job;

	if (query->agent_incarnation != agent->incarnation) {
		refuse(agent, link, query->request, KWB_OUTCOME_UNKNOWN,
		    KWB_ERR_CALL_INCARNATION);
		return;
	}
	shard = journal_lock(&agent->journal, query->key);
	job = journal_find(shard, query->key);
	if (job == NULL) {
		job = journal_add(&agent->journal, shard, query->key);
		if (job != NULL) {
			job->state = JOB_BARRED;
			journal_retain(&agent->journal, job);
		}
	}
	if (job == NULL)
		refuse(agent, link, query->request, KWB_OUTCOME_UNKNOWN,
		    KWB_ERR_MEMORY);
	else if (job->state == JOB_BARRED)
		refuse(agent, link, query->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_BARRED);
	else if (job_attach(job, link, query->request, 0))
		job_send_state(agent, job);
	else
		refuse(agent, link, query->request, KWB_OUTCOME_UNKNOWN,
		    KWB_ERR_CALL_BUSY);
	journal_unlock(shard);
}

/*
 * Detaches a request from its job. Cancels the job if no request is left,
 * unless the entry asks to keep it.
 */
void
handle_cancel(
    struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Cancel *cancel)
{
	struct job *job;
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++) {
		struct journal_shard *shard = &agent->journal.shards[i];

		pthread_mutex_lock(&shard->lock);
		TAILQ_FOREACH (job, &shard->jobs, in_shard) {
			if (!job_detach(job, link, cancel->request))
				continue;
			if (!cancel->keep && job->attachments_count == 0)
				atomic_store(&job->cancelled, true);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/*
 * Raises the fence of the plan to a new attempt at a step, and replies with the
 * samples of that step that are held here.
 */
void
handle_find(struct kwb_agent *agent, uint64_t link, const Kwb__Wire__Find *find)
{
	Kwb__Wire__Found found = KWB__WIRE__FOUND__INIT;
	KWB_FRAME_DECLARE(frame, FOUND, found, found);
	Kwb__Wire__Held *held;
	Kwb__Wire__Held **pointers;
	unsigned i, count = 0, held_capacity;

	if (journal_raise_fence(
		&agent->journal, find->plan, find->step, find->attempt) != 0)
		kwb_metric_add(KWB_METRIC_REFUSED_FENCED, 1);
	held_capacity = atomic_load(&agent->journal.count) + 1;
	held = calloc(held_capacity, sizeof(*held));
	pointers = calloc(held_capacity, sizeof(*pointers));
	found.request = find->request;
	for (i = 0; i < KWB_SHARDS && held != NULL; i++)
		count += find_in_shard(&agent->journal.shards[i], find,
		    held + count, held_capacity - count);
	for (i = 0; i < count && pointers != NULL; i++)
		pointers[i] = &held[i];
	found.n_held = pointers ? count : 0;
	found.held = pointers;
	kwb_link_send(&agent->loop, link, &frame);
	for (i = 0; i < count; i++) {
		free(held[i].key);
		free(held[i].slot);
	}
	free(held);
	free(pointers);
}

/* Detaches all requests of a link; jobs go on for a while. */
void
handle_link_closed(struct kwb_agent *agent, uint64_t link)
{
	struct job *job;
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++) {
		struct journal_shard *shard = &agent->journal.shards[i];

		pthread_mutex_lock(&shard->lock);
		TAILQ_FOREACH (job, &shard->jobs, in_shard) {
			if (job->state == JOB_BARRED)
				continue;
			job_detach(job, link, 0);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/*
 * Removes finished jobs that are no longer needed, and cancels generations that
 * are too late or that no request waits for. When the agent has been leaving
 * for a while, cancels all of them, so that entries resume them elsewhere.
 * Called periodically.
 */
void
jobs_expire(struct kwb_agent *agent)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t leaving_since_ns = atomic_load(&agent->leaving_since_ns);
	bool is_handing_over = leaving_since_ns != 0 &&
	    now_ns >= leaving_since_ns + KWB_JOB_ORPHAN_NS / 4;
	bool is_full = journal_is_full(&agent->journal);
	struct job *job, *next;
	unsigned i;

	for (i = 0; i < KWB_SHARDS; i++) {
		struct journal_shard *shard = &agent->journal.shards[i];

		pthread_mutex_lock(&shard->lock);
		for (job = TAILQ_FIRST(&shard->jobs); job != NULL; job = next) {
			next = TAILQ_NEXT(job, in_shard);
			if (job_expire(
				agent, shard, job, now_ns, is_handing_over))
				continue;
			/* A sample may be generated again, a call may not. */
			if (is_full && job->state == JOB_DONE &&
			    job_is_sample(job))
				journal_remove(&agent->journal, shard, job);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/* Sends new tokens to all attached requests. Called under the shard's lock. */
void
job_send_progress(struct kwb_agent *agent, struct job *job)
{
	unsigned i;

	for (i = 0; i < job->attachments_count; i++)
		send_progress_to(agent, job, &job->attachments[i]);
}

/*
 * Sends new tokens and the outcome to all attached requests, and detaches them.
 * Called under the shard's lock.
 */
void
job_send_done(struct kwb_agent *agent, struct job *job)
{
	unsigned i;

	job_send_progress(agent, job);
	for (i = 0; i < job->attachments_count; i++)
		send_done_to(agent, job, &job->attachments[i]);
	job->attachments_count = 0;
}

/* Returns why a request with a new key is refused; 0 if it is accepted. */
static int
run_check_refusal(struct kwb_agent *agent, const Kwb__Wire__Run *run)
{
	if (agent_is_leaving(agent))
		return KWB_ERR_CALL_LEAVING;
	if (run->lists_revision > kwb_current_lists_revision())
		return KWB_ERR_LISTS_NONE;
	if (run->minted_ms != 0 &&
	    run->minted_ms + KWB_TICKET_TTL_MS < kwb_clock_wall_ms())
		return KWB_ERR_CALL_FORGOTTEN;
	if (run->slot != NULL &&
	    journal_raise_fence(&agent->journal, run->plan, run->slot->step,
		run->slot->attempt) != 0) {
		kwb_metric_add(KWB_METRIC_REFUSED_FENCED, 1);
		return KWB_ERR_CALL_FENCED;
	}
	if (journal_is_full(&agent->journal))
		return KWB_ERR_CALL_BUSY;
	return queue_check_admission(agent, run);
}

/*
 * Attaches a request to the job of its key. A higher attempt at a sample's step
 * takes the job over from requests of lower attempts, which are refused.
 */
static void
run_attach(struct kwb_agent *agent, uint64_t link, struct job *job,
    const Kwb__Wire__Run *run)
{
	uint32_t attempt = run->slot ? run->slot->attempt : 0;
	unsigned i;

	if (job->state == JOB_BARRED) {
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_BARRED);
		return;
	}
	if (attempt < job->attempt) {
		kwb_metric_add(KWB_METRIC_REFUSED_FENCED, 1);
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_FENCED);
		return;
	}
	if (attempt > job->attempt) {
		for (i = 0; i < job->attachments_count; i++)
			refuse(agent, job->attachments[i].link,
			    job->attachments[i].request, KWB_OUTCOME_NOT_RUN,
			    KWB_ERR_CALL_FENCED);
		job->attachments_count = 0;
		job->attempt = attempt;
	}
	if (!job_attach(job, link, run->request, 0)) {
		refuse(agent, link, run->request, KWB_OUTCOME_UNKNOWN,
		    KWB_ERR_CALL_BUSY);
		return;
	}
	kwb_log(KWB_LOG_INFO, "agent", "event=attach key=%s state=%d", job->key,
	    job->state);
	job_send_state(agent, job);
}

/* Adds a job for a new key and queues it. The job owns the frame. */
static void
run_insert(struct kwb_agent *agent, struct journal_shard *shard, uint64_t link,
    Kwb__Wire__Frame *frame)
{
	const Kwb__Wire__Run *run = frame->run;
	uint64_t now_ns = kwb_clock_now_ns();
	struct job *job;
	size_t i, span = 0;

	job = journal_add(&agent->journal, shard, run->key);
	if (job == NULL) {
		refuse(agent, link, run->request, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_MEMORY);
		kwb_frame_free(frame);
		return;
	}
	job->frame = frame;
	kwb_text_copy(job->plan, sizeof(job->plan), run->plan);
	job->attempt = run->slot ? run->slot->attempt : 0;
	job->deadline_ns = now_ns + run->budget_ms * KWB_MS_NS;
	job->slack_deadline_ns = now_ns + run->slack_ms * KWB_MS_NS;
	for (i = 0; i < run->n_resume; i++) {
		while (span + 1 < run->n_resume_spans &&
		    i >= run->resume_spans[span + 1]->first)
			span++;
		kwb_tokens_add(&job->tokens, run->resume[i],
		    run->n_resume_spans ? run->resume_spans[span]->version : 0);
	}
	job_attach(job, link, run->request, (uint32_t)run->n_resume);
	queue_add_job(agent, job);
}

static void
refuse(struct kwb_agent *agent, uint64_t link, uint64_t request,
    enum kwb_outcome outcome, int error)
{
	Kwb__Wire__Done done = KWB__WIRE__DONE__INIT;
	KWB_FRAME_DECLARE(frame, DONE, done, done);

	done.request = request;
	done.outcome = outcome;
	done.error = error;
	done.leaving = agent_is_leaving(agent);
	kwb_log(KWB_LOG_DEBUG, "agent", "event=refuse request=%llu error=%s",
	    (unsigned long long)request, kwb_error_name(error));
	kwb_link_send(&agent->loop, link, &frame);
}

/* Refuses a request and tells the entry how busy the agent is. */
static void
refuse_with_load(struct kwb_agent *agent, uint64_t link,
    const Kwb__Wire__Run *run, int error)
{
	Kwb__Wire__Done done = KWB__WIRE__DONE__INIT;
	KWB_FRAME_DECLARE(frame, DONE, done, done);

	done.request = run->request;
	done.outcome = error == KWB_ERR_CALL_FORGOTTEN ? KWB_OUTCOME_UNKNOWN
						       : KWB_OUTCOME_NOT_RUN;
	done.error = error;
	done.leaving = agent_is_leaving(agent);
	done.plan = run->plan;
	done.plan_running = queue_count_running(agent, run->plan);
	done.busy = queue_count_jobs(agent);
	kwb_link_send(&agent->loop, link, &frame);
}

/* Sends the lists to an entry that has an older revision. */
static void
send_lists(struct kwb_agent *agent, uint64_t link)
{
	Kwb__Wire__Lists lists = KWB__WIRE__LISTS__INIT;
	KWB_FRAME_DECLARE(frame, LISTS, lists, lists);
	struct kwb_buf text;

	kwb_buf_init(&text);
	if (kwb_current_lists_text(&text, &lists.revision) == 0) {
		lists.document.data = (uint8_t *)text.data;
		lists.document.len = text.used_bytes;
		kwb_link_send(&agent->loop, link, &frame);
	}
	kwb_buf_finish(&text);
}

/* Sends what there is of a job: its tokens so far or its outcome. */
static void
job_send_state(struct kwb_agent *agent, struct job *job)
{
	if (job->state == JOB_DONE)
		job_send_done(agent, job);
	else
		job_send_progress(agent, job);
}

static void
send_progress_to(
    struct kwb_agent *agent, struct job *job, struct attachment *attachment)
{
	Kwb__Wire__Progress progress = KWB__WIRE__PROGRESS__INIT;
	KWB_FRAME_DECLARE(frame, PROGRESS, progress, progress);
	struct wire_span_list spans;

	if (attachment->sent_tokens >= job->tokens.count)
		return;
	progress.request = attachment->request;
	progress.first = attachment->sent_tokens;
	progress.tokens = job->tokens.text + attachment->sent_tokens;
	progress.n_tokens = job->tokens.count - attachment->sent_tokens;
	progress.n_spans =
	    wire_spans_fill(&job->tokens, attachment->sent_tokens, &spans);
	progress.spans = spans.pointers;
	if (kwb_link_send(&agent->loop, attachment->link, &frame) == 0)
		attachment->sent_tokens = job->tokens.count;
}

static void
send_done_to(struct kwb_agent *agent, const struct job *job,
    const struct attachment *attachment)
{
	Kwb__Wire__Done done = KWB__WIRE__DONE__INIT;
	KWB_FRAME_DECLARE(frame, DONE, done, done);

	done.request = attachment->request;
	done.outcome = job->outcome;
	done.error = job->error;
	done.status = job->status;
	done.content_type = (char *)job->content_type;
	done.body.data = (uint8_t *)job->body.data;
	done.body.len = job->body.used_bytes;
	done.leaving = agent_is_leaving(agent);
	done.plan = (char *)job->plan;
	done.plan_running = queue_count_running(agent, job->plan);
	done.busy = queue_count_jobs(agent);
	kwb_link_send(&agent->loop, attachment->link, &frame);
}

/* Removes or cancels a job if it is due; returns whether it was removed. */
static bool
job_expire(struct kwb_agent *agent, struct journal_shard *shard,
    struct job *job, uint64_t now_ns, bool is_handing_over)
{
	bool is_generation = job->frame != NULL && job->frame->run->model[0];
	bool is_orphan = job->orphan_deadline_ns != 0 &&
	    (now_ns >= job->orphan_deadline_ns || !job_is_sample(job));

	if (job->state == JOB_DONE || job->state == JOB_BARRED) {
		if (now_ns < job->retained_until_ns &&
		    !sample_is_outdated(&agent->journal, job))
			return false;
		journal_remove(&agent->journal, shard, job);
		return true;
	}
	if (now_ns >= job->deadline_ns && is_generation)
		atomic_store(&job->cancelled, true);
	if (is_generation && (is_orphan || is_handing_over))
		atomic_store(&job->cancelled, true);
	if (sample_is_outdated(&agent->journal, job))
		atomic_store(&job->cancelled, true);
	return false;
}

/* Whether the trainer has gone on to a later step than the sample's. */
static bool
sample_is_outdated(struct journal *journal, const struct job *job)
{
	const Kwb__Wire__Slot *slot = job_slot(job);
	bool is_outdated = false;
	unsigned i;

	if (slot == NULL)
		return false;
	pthread_mutex_lock(&journal->fences_lock);
	for (i = 0; i < KWB_PLANS_MAX; i++)
		if (strcmp(journal->fences[i].plan, job->plan) == 0)
			is_outdated = slot->step < journal->fences[i].step;
	pthread_mutex_unlock(&journal->fences_lock);
	return is_outdated;
}

/* Fills in the usable samples of a step in one shard; returns how many. */
static unsigned
find_in_shard(struct journal_shard *shard, const Kwb__Wire__Find *find,
    Kwb__Wire__Held *held, unsigned held_capacity)
{
	struct job *job;
	unsigned count = 0;

	pthread_mutex_lock(&shard->lock);
	TAILQ_FOREACH (job, &shard->jobs, in_shard) {
		if (count == held_capacity || !job_is_sample(job) ||
		    strcmp(job->plan, find->plan) != 0 ||
		    job->frame->run->slot->step != find->step)
			continue;
		if (job->state == JOB_DONE && job->outcome != KWB_OUTCOME_RAN)
			continue;
		if (atomic_load(&job->cancelled))
			continue;
		count += held_fill(&held[count], job);
	}
	pthread_mutex_unlock(&shard->lock);
	return count;
}

/*
 * Describes a sample; false if out of memory. Copies are made, which the caller
 * frees, because the job may be removed once its shard is unlocked.
 */
static bool
held_fill(Kwb__Wire__Held *held, const struct job *job)
{
	kwb__wire__held__init(held);
	held->slot = malloc(sizeof(*held->slot));
	held->key = strdup(job->key);
	if (held->slot == NULL || held->key == NULL) {
		free(held->slot);
		free(held->key);
		return false;
	}
	kwb__wire__slot__init(held->slot);
	held->slot->step = job->frame->run->slot->step;
	held->slot->group = job->frame->run->slot->group;
	held->slot->index = job->frame->run->slot->index;
	held->tokens = job->tokens.count;
	held->done = job->state == JOB_DONE;
	return true;
}
