/*
 * Start and stop of an agent, its links from entries, and the status that it
 * sends on them. Entries learn from the agent itself that it is leaving: every
 * status and every answer says so.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent.h"

#define MONITOR_PERIOD_NS (100 * KWB_MS_NS)
#define LEAVING_MIN_NS (1000 * KWB_MS_NS) /* for entries to learn of it */
#define LOAD_HISTORY_COUNT (KWB_HEARTBEAT_PERIOD_NS / MONITOR_PERIOD_NS)
#define STATUS_REPEAT_NS (150 * KWB_MS_NS) /* in heartbeats after a change */
#define LISTED_LEAVING_TTL_NS (3 * KWB_HEARTBEAT_PERIOD_NS)

/* A status message and the memory it points into. */
struct status_message {
	Kwb__Wire__Status status;
	Kwb__Wire__ModelVersion versions[KWB_MODELS_MAX];
	Kwb__Wire__ModelVersion *version_pointers[KWB_MODELS_MAX];
	Kwb__Wire__PlanUse uses[KWB_PLANS_MAX];
	Kwb__Wire__PlanUse *use_pointers[KWB_PLANS_MAX];
	struct model_state models[KWB_MODELS_MAX];
	struct plan_use plans[KWB_PLANS_MAX];
};

static void link_on_open(void *context, uint64_t link, uint32_t tag);
static void link_on_frame(
    void *context, uint64_t link, uint32_t tag, Kwb__Wire__Frame *frame);
static void link_on_close(void *context, uint64_t link, uint32_t tag);
static void link_on_heartbeat(void *context, uint64_t link, uint32_t tag);
static void update_lists(const Kwb__Wire__Lists *lists);
static void status_fill(
    struct kwb_agent *agent, struct status_message *message);
static void update_leaving(struct kwb_agent *agent);
static uint64_t status_digest(struct kwb_agent *agent, uint64_t *load_digest);
static void *monitor_run(void *argument);

static const struct kwb_link_ops link_ops = {
    .on_open = link_on_open,
    .on_frame = link_on_frame,
    .on_close = link_on_close,
    .on_heartbeat = link_on_heartbeat,
};

int
kwb_agent_start(
    struct kwb_agent **started, const struct kwb_agent_settings *settings)
{
	struct kwb_agent *agent = calloc(1, sizeof(*agent));
	struct kwb_address address;
	int error;

	if (agent == NULL)
		return KWB_ERR_MEMORY;
	agent->settings = settings;
	agent->incarnation =
	    kwb_clock_wall_ms() * 1000 + kwb_clock_now_ns() % 1000;
	kwb_platform_init(&agent->platform, settings->platform);
	journal_init(&agent->journal);
	pthread_mutex_init(&agent->upstream.lock, NULL);
	pthread_mutex_init(&agent->orders.lock, NULL);
	kwb_cond_init(&agent->orders.changed);
	STAILQ_INIT(&agent->orders.waiting);
	kwb_address_parse(&address, settings->listen);
	error = kwb_loop_init(&agent->loop, &link_ops, agent);
	if (error == 0)
		error = kwb_loop_listen(&agent->loop, &address);
	if (error == 0)
		error = run_start(agent);
	if (error == 0 &&
	    (pthread_create(&agent->monitor_thread, NULL, monitor_run, agent) ||
		pthread_create(&agent->order_thread, NULL, order_run, agent) ||
		pthread_create(&agent->share_thread, NULL, share_run, agent)))
		error = KWB_ERR_SYSTEM;
	if (error == 0)
		error = agent_http_start(agent);
	if (error == 0)
		error = kwb_loop_start(&agent->loop);
	if (error != 0)
		return error;
	kwb_log(KWB_LOG_INFO, "agent",
	    "event=start vm=%s failure_domain=%s pool=%s incarnation=%llu",
	    settings->vm, settings->failure_domain, settings->pool,
	    (unsigned long long)agent->incarnation);
	*started = agent;
	return 0;
}

/*
 * Tells entries that the agent is leaving, and waits up to drain_ms for its
 * jobs. Meanwhile jobs_expire() cancels generations after a while, so that
 * entries resume them on other agents with the tokens so far.
 */
void
kwb_agent_stop(struct kwb_agent *agent)
{
	uint64_t deadline_ns =
	    kwb_clock_now_ns() + agent->settings->drain_ms * KWB_MS_NS;
	uint64_t leaving_min_ns = kwb_clock_now_ns() + LEAVING_MIN_NS;

	atomic_store(&agent->is_draining, true);
	while (kwb_clock_now_ns() < deadline_ns &&
	    (queue_count_jobs(agent) > 0 ||
		kwb_clock_now_ns() < leaving_min_ns))
		kwb_clock_sleep_ns(MONITOR_PERIOD_NS / 4);
	atomic_store(&agent->stopping, true);
	agent_http_stop(agent);
	run_stop(agent);
	pthread_join(agent->monitor_thread, NULL);
	pthread_join(agent->order_thread, NULL);
	pthread_join(agent->share_thread, NULL);
	share_leave(agent);
	kwb_loop_finish(&agent->loop);
	journal_finish(&agent->journal);
	kwb_log(KWB_LOG_INFO, "agent", "event=stop");
	free(agent);
}

/*
 * Whether the agent shuts down, or is leaving by the platform's list. It takes
 * no new keys then.
 */
bool
agent_is_leaving(struct kwb_agent *agent)
{
	return atomic_load(&agent->is_draining) ||
	    kwb_clock_now_ns() < atomic_load(&agent->listed_leaving_until_ns);
}

/* Sends the hello, the first frame on each link. */
static void
link_on_open(void *context, uint64_t link, uint32_t tag)
{
	struct kwb_agent *agent = context;
	struct status_message message;
	Kwb__Wire__Hello hello = KWB__WIRE__HELLO__INIT;
	KWB_FRAME_DECLARE(frame, HELLO, hello, hello);

	(void)tag;
	status_fill(agent, &message);
	hello.protocol = KWB_PROTOCOL;
	hello.vm = (char *)agent->settings->vm;
	hello.incarnation = agent->incarnation;
	hello.failure_domain = (char *)agent->settings->failure_domain;
	hello.pool = (char *)agent->settings->pool;
	hello.lists_revision = kwb_current_lists_revision();
	hello.status = &message.status;
	kwb_link_send(&agent->loop, link, &frame);
}

static void
link_on_frame(
    void *context, uint64_t link, uint32_t tag, Kwb__Wire__Frame *frame)
{
	struct kwb_agent *agent = context;

	(void)tag;
	switch (frame->body_case) {
	case KWB__WIRE__FRAME__BODY_RUN:
		handle_run(agent, link, frame);
		return;
	case KWB__WIRE__FRAME__BODY_ORDER:
		order_accept(agent, link, frame);
		return;
	case KWB__WIRE__FRAME__BODY_QUERY:
		handle_query(agent, link, frame->query);
		break;
	case KWB__WIRE__FRAME__BODY_CANCEL:
		handle_cancel(agent, link, frame->cancel);
		break;
	case KWB__WIRE__FRAME__BODY_FIND:
		handle_find(agent, link, frame->find);
		break;
	case KWB__WIRE__FRAME__BODY_LISTS:
		update_lists(frame->lists);
		link_on_heartbeat(agent, link, 0); /* tells the revision */
		break;
	case KWB__WIRE__FRAME__BODY_HELLO:
		if (frame->hello->protocol != KWB_PROTOCOL)
			kwb_link_close(&agent->loop, link);
		break;
	case KWB__WIRE__FRAME__BODY_HEARTBEAT:
		kwb_link_set_heartbeat_period(&agent->loop, link,
		    frame->heartbeat->period_ms * KWB_MS_NS);
		if (frame->heartbeat->listed_leaving)
			atomic_store(&agent->listed_leaving_until_ns,
			    kwb_clock_now_ns() + LISTED_LEAVING_TTL_NS);
		break;
	default:
		break;
	}
	kwb_frame_free(frame);
}

static void
link_on_close(void *context, uint64_t link, uint32_t tag)
{
	(void)tag;
	handle_link_closed(context, link);
}

static void
link_on_heartbeat(void *context, uint64_t link, uint32_t tag)
{
	struct kwb_agent *agent = context;
	struct status_message message;
	Kwb__Wire__Heartbeat heartbeat = KWB__WIRE__HEARTBEAT__INIT;
	KWB_FRAME_DECLARE(frame, HEARTBEAT, heartbeat, heartbeat);

	(void)tag;
	heartbeat.lists_revision = kwb_current_lists_revision();
	/* Most have no status; it is added after changes, and at times. */
	if (kwb_clock_now_ns() < atomic_load(&agent->status_until_ns) ||
	    atomic_load(&agent->has_load_changed) ||
	    atomic_fetch_add(&agent->unchanged_heartbeats, 1) %
		    KWB_STATUS_PERIOD_HEARTBEATS ==
		0) {
		status_fill(agent, &message);
		heartbeat.status = &message.status;
	}
	kwb_link_send(&agent->loop, link, &frame);
}

static void
update_lists(const Kwb__Wire__Lists *lists)
{
	kwb_current_lists_update((const char *)lists->document.data,
	    lists->document.len, lists->revision);
}

/* Fills in a status; its pointers are valid as long as the message. */
static void
status_fill(struct kwb_agent *agent, struct status_message *message)
{
	Kwb__Wire__Status *status = &message->status;
	unsigned i, plans_count;

	kwb__wire__status__init(status);
	status->leaving = agent_is_leaving(agent);
	status->slots = agent->settings->slots;
	pthread_mutex_lock(&agent->upstream.lock);
	status->upstream_up = agent->upstream.up;
	status->n_versions = agent->upstream.models_count;
	memcpy(
	    message->models, agent->upstream.models, sizeof(message->models));
	pthread_mutex_unlock(&agent->upstream.lock);
	pthread_mutex_lock(&agent->queue.lock);
	status->running = agent->queue.running_count;
	status->waiting = agent->queue.waiting_count;
	plans_count = agent->queue.plans_count;
	memcpy(message->plans, agent->queue.plans, sizeof(message->plans));
	pthread_mutex_unlock(&agent->queue.lock);
	for (i = 0; i < status->n_versions; i++) {
		kwb__wire__model_version__init(&message->versions[i]);
		message->versions[i].model = message->models[i].model;
		message->versions[i].version = message->models[i].version;
		message->versions[i].swapping = message->models[i].swapping;
		message->version_pointers[i] = &message->versions[i];
	}
	for (i = 0; i < plans_count; i++) {
		Kwb__Wire__PlanUse *use = &message->uses[status->n_plans];

		/* Entries take a plan that is left out as unused here. */
		if (message->plans[i].units == 0 &&
		    message->plans[i].running == 0)
			continue;
		kwb__wire__plan_use__init(use);
		use->plan = message->plans[i].plan;
		use->units = message->plans[i].units;
		use->running = message->plans[i].running;
		message->use_pointers[status->n_plans++] = use;
	}
	status->versions = message->version_pointers;
	status->plans = message->use_pointers;
}

/* Sets when leaving began, and logs when it begins or ends. */
static void
update_leaving(struct kwb_agent *agent)
{
	bool is_leaving = agent_is_leaving(agent);

	if (is_leaving == (atomic_load(&agent->leaving_since_ns) != 0))
		return;
	atomic_store(
	    &agent->leaving_since_ns, is_leaving ? kwb_clock_now_ns() : 0);
	kwb_log(KWB_LOG_INFO, "agent", "event=leaving now=%d ending=%d",
	    is_leaving, atomic_load(&agent->is_draining));
}

/*
 * Returns a hash of the parts of the status that entries are told at once when
 * they change. Sets load_digest to a hash of the load, whose changes go out
 * with the next heartbeat.
 */
static uint64_t
status_digest(struct kwb_agent *agent, uint64_t *load_digest)
{
	struct status_message message;
	uint64_t digest;
	unsigned i;

	status_fill(agent, &message);
	digest = message.status.leaving * 2 + message.status.upstream_up;
	for (i = 0; i < message.status.n_versions; i++)
		digest = digest * 31 + message.models[i].version * 2 +
		    message.models[i].swapping;
	*load_digest = message.status.running + message.status.waiting;
	for (i = 0; i < message.status.n_plans; i++) {
		digest = digest * 31 + message.uses[i].units;
		*load_digest = *load_digest * 31 + message.uses[i].running;
	}
	return digest;
}

/*
 * Thread that polls the upstream, expires jobs, and notices changes that
 * entries have to be told.
 */
static void *
monitor_run(void *argument)
{
	struct kwb_agent *agent = argument;

	uint64_t digest, last_digest = 0, load_digest,
			 load_history[LOAD_HISTORY_COUNT] = {0};
	unsigned period = 0;

	while (!atomic_load(&agent->stopping)) {
		upstream_poll(agent);
		jobs_expire(agent);
		update_leaving(agent);
		digest = status_digest(agent, &load_digest);
		/* Compares with the load one heartbeat's period before. */
		atomic_store(&agent->has_load_changed,
		    load_digest != load_history[period % LOAD_HISTORY_COUNT]);
		load_history[period++ % LOAD_HISTORY_COUNT] = load_digest;
		if (digest != last_digest) {
			atomic_store(&agent->status_until_ns,
			    kwb_clock_now_ns() + STATUS_REPEAT_NS);
			kwb_loop_heartbeat_now(&agent->loop);
		}
		last_digest = digest;
		kwb_clock_sleep_ns(MONITOR_PERIOD_NS);
	}
	return NULL;
}
