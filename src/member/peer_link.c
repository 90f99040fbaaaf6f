/*
 * Links to peers: hello, heartbeats, status and lists; answers are passed on to
 * the threads that wait for them.
 */
#include <inttypes.h>
#include <string.h>

#include "peer.h"

static void link_on_open(void *context, uint64_t link, uint32_t tag);
static void link_on_frame(
    void *context, uint64_t link, uint32_t tag, Kwb__Wire__Frame *frame);
static void link_on_close(void *context, uint64_t link, uint32_t tag);
static void link_on_heartbeat(void *context, uint64_t link, uint32_t tag);
static uint64_t heartbeat_period_ns(const struct peers *peers);
static void peer_handle_hello(struct kwb_entry *entry, uint64_t link,
    uint32_t tag, const Kwb__Wire__Hello *hello);
static void peer_clear_load(struct peer *peer);
static void peer_apply_status(
    struct peer *peer, uint64_t revision, const Kwb__Wire__Status *status);
static void peer_apply_load(struct kwb_entry *entry, uint64_t link,
    struct peer *peer, const Kwb__Wire__Done *done);
static uint32_t load_of_others(uint32_t reported, uint32_t own_in_flight);

const struct kwb_link_ops peer_link_ops = {
    .on_open = link_on_open,
    .on_frame = link_on_frame,
    .on_close = link_on_close,
    .on_heartbeat = link_on_heartbeat,
};

void
peer_send_lists(struct kwb_entry *entry, uint64_t link, uint32_t tag)
{
	struct peer *peer = &entry->peers.peers[tag % KWB_PEERS_MAX];
	Kwb__Wire__Lists lists = KWB__WIRE__LISTS__INIT;
	KWB_FRAME_DECLARE(frame, LISTS, lists, lists);
	struct kwb_buf text;
	bool is_behind;

	pthread_mutex_lock(&entry->peers.lock);
	is_behind = peer->link == link &&
	    peer->lists_revision < kwb_current_lists_revision();
	pthread_mutex_unlock(&entry->peers.lock);
	if (!is_behind)
		return;
	kwb_buf_init(&text);
	if (kwb_current_lists_text(&text, &lists.revision) == 0) {
		lists.document.data = (uint8_t *)text.data;
		lists.document.len = text.used_bytes;
		kwb_link_send(&entry->loop, link, &frame);
		pthread_mutex_lock(&entry->peers.lock);
		if (peer->link == link)
			peer->lists_revision = lists.revision;
		pthread_mutex_unlock(&entry->peers.lock);
	}
	kwb_buf_finish(&text);
}

/* The tag of a link is the peer's index in the table. */
static void
link_on_open(void *context, uint64_t link, uint32_t tag)
{
	struct kwb_entry *entry = context;
	Kwb__Wire__Hello hello = KWB__WIRE__HELLO__INIT;
	KWB_FRAME_DECLARE(frame, HELLO, hello, hello);

	(void)tag;
	hello.protocol = KWB_PROTOCOL;
	hello.vm = (char *)entry->settings->vm;
	hello.incarnation = entry->origin.incarnation;
	hello.failure_domain = (char *)entry->settings->failure_domain;
	hello.lists_revision = kwb_current_lists_revision();
	kwb_link_send(&entry->loop, link, &frame);
}

static void
link_on_frame(
    void *context, uint64_t link, uint32_t tag, Kwb__Wire__Frame *frame)
{
	struct kwb_entry *entry = context;
	struct peer *peer = &entry->peers.peers[tag % KWB_PEERS_MAX];

	switch (frame->body_case) {
	case KWB__WIRE__FRAME__BODY_PROGRESS:
		registry_deliver(
		    &entry->registry, frame->progress->request, frame);
		return;
	case KWB__WIRE__FRAME__BODY_DONE:
		peer_apply_load(entry, link, peer, frame->done);
		registry_deliver(&entry->registry, frame->done->request, frame);
		return;
	case KWB__WIRE__FRAME__BODY_FOUND:
		registry_deliver(
		    &entry->registry, frame->found->request, frame);
		return;
	case KWB__WIRE__FRAME__BODY_ORDER_REPLY:
		registry_deliver(
		    &entry->registry, frame->order_reply->request, frame);
		return;
	case KWB__WIRE__FRAME__BODY_HELLO:
		peer_handle_hello(entry, link, tag, frame->hello);
		break;
	case KWB__WIRE__FRAME__BODY_HEARTBEAT:
		pthread_mutex_lock(&entry->peers.lock);
		if (peer->link == link && frame->heartbeat->status != NULL)
			peer_apply_status(peer,
			    frame->heartbeat->lists_revision,
			    frame->heartbeat->status);
		pthread_mutex_unlock(&entry->peers.lock);
		peer_send_lists(entry, link, tag);
		break;
	case KWB__WIRE__FRAME__BODY_LISTS:
		if (kwb_current_lists_update(
			(const char *)frame->lists->document.data,
			frame->lists->document.len, frame->lists->revision) > 0)
			peers_push_lists(entry);
		break;
	default:
		break;
	}
	kwb_frame_free(frame);
}

static void
link_on_close(void *context, uint64_t link, uint32_t tag)
{
	struct kwb_entry *entry = context;
	struct peer *peer = &entry->peers.peers[tag % KWB_PEERS_MAX];

	pthread_mutex_lock(&entry->peers.lock);
	if (peer->link == link) {
		if (peer->is_connected)
			kwb_log(KWB_LOG_WARN, "member", "event=link_lost vm=%s",
			    peer->vm);
		peer->link = 0;
		peer->is_connected = false;
	}
	pthread_mutex_unlock(&entry->peers.lock);
	registry_link_lost(&entry->registry, link);
}

/*
 * The period grows with the number of links, so that all heartbeats together
 * stay within the bandwidth for control traffic. Called under the table's lock.
 */
static uint64_t
heartbeat_period_ns(const struct peers *peers)
{
	uint64_t links = 0, period_ns = KWB_HEARTBEAT_PERIOD_NS;
	unsigned i;

	for (i = 0; i < KWB_PEERS_MAX; i++)
		links += peers->peers[i].is_connected;
	if (links > KWB_HEARTBEAT_FULL_RATE_LINKS)
		period_ns = (links - KWB_HEARTBEAT_FULL_RATE_LINKS) *
		    KWB_HEARTBEAT_PERIOD_PER_LINK_NS;
	return period_ns > KWB_HEARTBEAT_PERIOD_NS ? period_ns
						   : KWB_HEARTBEAT_PERIOD_NS;
}

static void
link_on_heartbeat(void *context, uint64_t link, uint32_t tag)
{
	struct kwb_entry *entry = context;
	struct peer *peer = &entry->peers.peers[tag % KWB_PEERS_MAX];
	Kwb__Wire__Heartbeat heartbeat = KWB__WIRE__HEARTBEAT__INIT;
	KWB_FRAME_DECLARE(frame, HEARTBEAT, heartbeat, heartbeat);
	uint64_t period_ns;

	pthread_mutex_lock(&entry->peers.lock);
	heartbeat.listed_leaving = peer->link == link && peer->listed_leaving;
	period_ns = heartbeat_period_ns(&entry->peers);
	pthread_mutex_unlock(&entry->peers.lock);
	heartbeat.lists_revision = kwb_current_lists_revision();
	heartbeat.period_ms = (uint32_t)(period_ns / KWB_MS_NS);
	kwb_link_send(&entry->loop, link, &frame);
	kwb_link_set_heartbeat_period(&entry->loop, link, period_ns);
}

static void
peer_handle_hello(struct kwb_entry *entry, uint64_t link, uint32_t tag,
    const Kwb__Wire__Hello *hello)
{
	struct peer *peer = &entry->peers.peers[tag % KWB_PEERS_MAX];
	bool is_mismatch;

	pthread_mutex_lock(&entry->peers.lock);
	/* Another VM may have taken over the address. */
	is_mismatch =
	    hello->protocol != KWB_PROTOCOL || strcmp(hello->vm, peer->vm) != 0;
	if (peer->link == link && !is_mismatch) {
		if (peer->incarnation != hello->incarnation)
			peer_clear_load(peer);
		peer->is_connected = true;
		peer->incarnation = hello->incarnation;
		peer->reconnect_delay_ns = 0;
		peer->failures_count = 0;
		if (hello->status != NULL)
			peer_apply_status(
			    peer, hello->lists_revision, hello->status);
		kwb_log(KWB_LOG_INFO, "member",
		    "event=link_up vm=%s incarnation=%" PRIu64, peer->vm,
		    peer->incarnation);
	}
	pthread_mutex_unlock(&entry->peers.lock);
	if (is_mismatch)
		kwb_link_close(&entry->loop, link);
	else
		peer_send_lists(entry, link, tag);
}

/* Clears what was reported: a new process on the VM holds none of it. */
static void
peer_clear_load(struct peer *peer)
{
	unsigned i;

	for (i = 0; i < peer->plans_count; i++) {
		peer->plans[i].units = 0;
		peer->plans[i].others_in_flight = 0;
	}
	peer->others_in_flight = 0;
}

static void
peer_apply_status(
    struct peer *peer, uint64_t revision, const Kwb__Wire__Status *status)
{
	uint32_t busy = status->running + status->waiting;
	size_t i;

	peer_clear_load(peer);
	peer->lists_revision = revision;
	peer->leaving = status->leaving;
	peer->upstream_up = status->upstream_up;
	peer->slots = status->slots;
	peer->others_in_flight = load_of_others(busy, peer->own_in_flight);
	peer->models_count = 0;
	for (i = 0; i < status->n_versions && i < KWB_MODELS_MAX; i++) {
		struct peer_model *model = &peer->models[peer->models_count++];

		kwb_text_copy(model->model, sizeof(model->model),
		    status->versions[i]->model);
		model->version = status->versions[i]->version;
		model->swapping = status->versions[i]->swapping;
	}
	for (i = 0; i < status->n_plans; i++) {
		struct peer_plan *plan_use =
		    peer_plan_get(peer, status->plans[i]->plan);

		if (plan_use == NULL)
			continue;
		plan_use->units = status->plans[i]->units;
		plan_use->others_in_flight = load_of_others(
		    status->plans[i]->running, plan_use->own_in_flight);
	}
}

/* Each answer carries the load, which is newer than the last status. */
static void
peer_apply_load(struct kwb_entry *entry, uint64_t link, struct peer *peer,
    const Kwb__Wire__Done *done)
{
	/* A refused request still counts as ours, but not at the agent. */
	uint32_t refused = done->error == KWB_ERR_CALL_BUSY;
	struct peer_plan *plan_use;

	pthread_mutex_lock(&entry->peers.lock);
	if (peer->link == link && done->leaving)
		peer->leaving = true;
	if (peer->link == link && done->plan[0] != '\0') {
		peer->others_in_flight =
		    load_of_others(done->busy + refused, peer->own_in_flight);
		plan_use = peer_plan_get(peer, done->plan);
		if (plan_use != NULL)
			plan_use->others_in_flight =
			    load_of_others(done->plan_running + refused,
				plan_use->own_in_flight);
	}
	pthread_mutex_unlock(&entry->peers.lock);
}

/* Requests of other entries: what the agent reports minus this entry's. */
static uint32_t
load_of_others(uint32_t reported, uint32_t own_in_flight)
{
	return reported > own_in_flight ? reported - own_in_flight : 0;
}
