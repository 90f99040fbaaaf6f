/*
 * Takes calls to the store through a peer while the node's own path is cut, and
 * back once it answers. A peer is only used after a call through it has been
 * answered; what was sent before that on the silent path is given up, to be
 * read back or sent again.
 */
#include <event2/event.h>
#include <string.h>

#include "kwb_node.h"

static void seek_next(
    struct kwb_detour *detour, struct kwb_detour_probe *probe);

static int
probe_send(struct kwb_detour *detour, struct kwb_detour_probe *probe,
    const struct kwb_address *through)
{
	struct kwb_store *store = detour->store;
	const struct kwb_address *before = store->relay;
	int code;

	probe->begin_ns = kwb_clock_now_ns();
	store->relay = through;
	code = kwb_store_probe(store, &probe->call);
	store->relay = before;
	return code;
}

static void
set_relay(struct kwb_detour *detour, const struct kwb_peer *peer)
{
	struct kwb_store *store = detour->store;

	if (peer != NULL) {
		detour->peer = *peer;
		kwb_log(KWB_LOG_INFO, "detour",
		    "event=relayed peer=%s own_quiet_ms=%llu", peer->node,
		    (unsigned long long)((kwb_clock_now_ns() -
					     store->direct_answer_ns) /
			KWB_MS_NS));
		kwb_metric_add(KWB_METRIC_DETOURS, 1);
	} else if (store->relay != NULL) {
		kwb_log(KWB_LOG_INFO, "detour", "event=own_path peer=%s",
		    detour->peer.node);
	}
	store->relay = peer != NULL ? &detour->peer.address : NULL;
}

static void
seek_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_detour_probe *probe = call->context;
	struct kwb_detour *detour = probe->detour;
	struct kwb_store *store = detour->store;
	uint64_t now_ns = kwb_clock_now_ns();

	if (!kwb_store_has_answered(answer)) {
		seek_next(detour, probe);
		return;
	}
	if (store->relay != NULL ||
	    now_ns - store->direct_answer_ns < KWB_PATH_SILENT_NS)
		return; /* another way was found first */
	set_relay(detour, &probe->peer);
	kwb_store_give_up(store, probe->begin_ns);
	detour->on_change(detour->context);
}

/* Asks through the next peer, a bounded number in each look. */
static void
seek_next(struct kwb_detour *detour, struct kwb_detour_probe *probe)
{
	const struct kwb_peer *peer = kwb_peers_next(detour->peers);

	if (peer == NULL || detour->tries == 0)
		return;
	detour->tries--;
	probe->peer = *peer;
	probe->call.on_done = seek_answer;
	probe->call.context = probe;
	if (probe_send(detour, probe, &probe->peer.address) != 0)
		kwb_log(KWB_LOG_DEBUG, "detour", "event=probe_not_sent peer=%s",
		    probe->peer.node);
}

static void
own_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_detour_probe *probe = call->context;
	struct kwb_detour *detour = probe->detour;

	if (kwb_store_has_answered(answer))
		set_relay(detour, NULL);
}

/* Its time of arrival is noted with each answer of the store. */
static void
relay_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	(void)answer;
}

static void
probe_begin(struct kwb_detour *detour, struct kwb_detour_probe *probe,
    const struct kwb_address *through,
    void (*on_done)(
	struct kwb_store_call *call, const struct kwb_store_answer *answer))
{
	if (kwb_clock_now_ns() - probe->begin_ns < KWB_PATH_PROBE_TIMEOUT_NS)
		return;
	kwb_store_cancel(detour->store, &probe->call);
	probe->call.on_done = on_done;
	probe->call.context = probe;
	if (probe_send(detour, probe, through) != 0)
		kwb_log(KWB_LOG_DEBUG, "detour", "event=probe_not_sent");
}

static void
seek(struct kwb_detour *detour)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	detour->tries = KWB_PATH_SEARCH_PEERS;
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++) {
		struct kwb_detour_probe *probe = &detour->seeks[i];

		if (probe->call.pending != NULL &&
		    now_ns - probe->begin_ns < KWB_PATH_PROBE_TIMEOUT_NS)
			continue;
		kwb_store_cancel(detour->store, &probe->call);
		seek_next(detour, probe);
	}
}

static void
detour_time(int fd, short what, void *context)
{
	struct kwb_detour *detour = context;
	struct kwb_store *store = detour->store;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_path_input input;

	(void)fd;
	(void)what;
	if (store->direct_answer_ns >= detour->asked_ns)
		detour->asked_ns = 0;
	input = (struct kwb_path_input){
	    .direct_silence_ns = now_ns - store->direct_answer_ns,
	    .probe_unanswered_ns =
		detour->asked_ns != 0 ? now_ns - detour->asked_ns : 0,
	    .relay_silence_ns = now_ns - store->relay_answer_ns,
	    .is_relayed = store->relay != NULL};
	kwb_timer_at(detour->timer, now_ns + KWB_PATH_CHECK_NS);
	if (store->direct_answer_ns == 0 && store->relay == NULL &&
	    detour->peers->known_count == 0)
		return; /* has just started: knows no peers */
	switch (kwb_path_choose(&input)) {
	case KWB_PATH_DIRECT:
		set_relay(detour, NULL);
		break;
	case KWB_PATH_PROBE:
		if (detour->asked_ns == 0)
			detour->asked_ns = now_ns;
		set_relay(detour, NULL);
		probe_begin(detour, &detour->own, NULL, own_answer);
		break;
	case KWB_PATH_RELAY:
		probe_begin(detour, &detour->own, NULL, own_answer);
		if (input.relay_silence_ns >= KWB_PATH_SILENT_NS / 2)
			probe_begin(detour, &detour->through, store->relay,
			    relay_answer);
		break;
	case KWB_PATH_SEARCH:
		set_relay(detour, NULL);
		seek(detour);
		break;
	}
}

int
kwb_detour_init(struct kwb_detour *detour, struct event_base *base,
    struct kwb_store *store, struct kwb_peers *peers,
    void (*on_change)(void *context), void *context)
{
	uint32_t i;

	memset(detour, 0, sizeof(*detour));
	detour->store = store;
	detour->peers = peers;
	detour->on_change = on_change;
	detour->context = context;
	detour->own.detour = detour;
	detour->through.detour = detour;
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++)
		detour->seeks[i].detour = detour;
	detour->timer = kwb_timer_new(base, detour_time, detour);
	if (detour->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_at(detour->timer, kwb_clock_now_ns() + KWB_PATH_CHECK_NS);
	return 0;
}

void
kwb_detour_finish(struct kwb_detour *detour)
{
	uint32_t i;

	kwb_store_cancel(detour->store, &detour->own.call);
	kwb_store_cancel(detour->store, &detour->through.call);
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++)
		kwb_store_cancel(detour->store, &detour->seeks[i].call);
	event_free(detour->timer);
}
