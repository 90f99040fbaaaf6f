/*
 * Sends calls to the store through a peer while the direct path is cut, and
 * straight again once the store answers there. A peer is used only after a
 * probe through it has been answered. Calls sent on the silent path before that
 * probe then end as unknown, so that their callers read back or send again.
 */
#include <event2/event.h>
#include <string.h>

#include "kwb_node.h"

static void search_probe_next(
    struct kwb_detour *detour, struct kwb_detour_probe *probe);

static int
probe_send(struct kwb_detour *detour, struct kwb_detour_probe *probe,
    const struct kwb_address *relay)
{
	struct kwb_store *store = detour->store;
	const struct kwb_address *previous = store->relay;
	int code;

	probe->sent_ns = kwb_clock_now_ns();
	store->relay = relay;
	code = kwb_store_probe(store, &probe->call);
	store->relay = previous;
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
		kwb_metric_add(KWB_METRIC_STORE_DETOURS, 1);
	} else if (store->relay != NULL) {
		kwb_log(KWB_LOG_INFO, "detour", "event=own_path peer=%s",
		    detour->peer.node);
	}
	store->relay = peer != NULL ? &detour->peer.address : NULL;
}

static void
search_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_detour_probe *probe = call->context;
	struct kwb_detour *detour = probe->detour;
	struct kwb_store *store = detour->store;
	uint64_t now_ns = kwb_clock_now_ns();

	if (!kwb_store_has_answered(answer)) {
		search_probe_next(detour, probe);
		return;
	}
	if (store->relay != NULL ||
	    now_ns - store->direct_answer_ns < KWB_PATH_SILENT_NS)
		return; /* another path was found first */
	set_relay(detour, &probe->peer);
	kwb_store_give_up(store, probe->sent_ns);
	detour->on_change(detour->context);
}

/* Probes the store through the next peer, up to the limit of one check. */
static void
search_probe_next(struct kwb_detour *detour, struct kwb_detour_probe *probe)
{
	const struct kwb_peer *peer = kwb_peers_next(detour->peers);

	if (peer == NULL || detour->probes_left == 0)
		return;
	detour->probes_left--;
	probe->peer = *peer;
	probe->call.on_done = search_on_answer;
	probe->call.context = probe;
	if (probe_send(detour, probe, &probe->peer.address) != 0)
		kwb_log(KWB_LOG_DEBUG, "detour", "event=probe_not_sent peer=%s",
		    probe->peer.node);
}

static void
direct_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_detour_probe *probe = call->context;
	struct kwb_detour *detour = probe->detour;

	if (kwb_store_has_answered(answer))
		set_relay(detour, NULL);
}

/* kwb_store_record_answer() has noted its time already. */
static void
relay_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	(void)answer;
}

static void
probe_if_due(struct kwb_detour *detour, struct kwb_detour_probe *probe,
    const struct kwb_address *relay,
    void (*on_done)(
	struct kwb_store_call *call, const struct kwb_store_answer *answer))
{
	if (kwb_clock_now_ns() - probe->sent_ns < KWB_PATH_PROBE_TIMEOUT_NS)
		return;
	kwb_store_cancel(detour->store, &probe->call);
	probe->call.on_done = on_done;
	probe->call.context = probe;
	if (probe_send(detour, probe, relay) != 0)
		kwb_log(KWB_LOG_DEBUG, "detour", "event=probe_not_sent");
}

static void
search_start(struct kwb_detour *detour)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	detour->probes_left = KWB_PATH_SEARCH_PEERS;
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++) {
		struct kwb_detour_probe *probe = &detour->search_probes[i];

		if (probe->call.pending != NULL &&
		    now_ns - probe->sent_ns < KWB_PATH_PROBE_TIMEOUT_NS)
			continue;
		kwb_store_cancel(detour->store, &probe->call);
		search_probe_next(detour, probe);
	}
}

static void
detour_on_timer(int fd, short what, void *context)
{
	struct kwb_detour *detour = context;
	struct kwb_store *store = detour->store;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_path_input input;

	(void)fd;
	(void)what;
	if (store->direct_answer_ns >= detour->probing_since_ns)
		detour->probing_since_ns = 0;
	input = (struct kwb_path_input){
	    .direct_silence_ns = now_ns - store->direct_answer_ns,
	    .probe_unanswered_ns = detour->probing_since_ns != 0
		? now_ns - detour->probing_since_ns
		: 0,
	    .relay_silence_ns = now_ns - store->relay_answer_ns,
	    .is_relayed = store->relay != NULL};
	kwb_timer_arm(detour->timer, now_ns + KWB_PATH_CHECK_NS);
	if (store->direct_answer_ns == 0 && store->relay == NULL &&
	    detour->peers->known_count == 0)
		return; /* has just started and knows no peers yet */
	switch (kwb_path_choose(&input)) {
	case KWB_PATH_DIRECT:
		set_relay(detour, NULL);
		break;
	case KWB_PATH_PROBE:
		if (detour->probing_since_ns == 0)
			detour->probing_since_ns = now_ns;
		set_relay(detour, NULL);
		probe_if_due(
		    detour, &detour->direct_probe, NULL, direct_on_answer);
		break;
	case KWB_PATH_RELAY:
		probe_if_due(
		    detour, &detour->direct_probe, NULL, direct_on_answer);
		if (input.relay_silence_ns >= KWB_PATH_SILENT_NS / 2)
			probe_if_due(detour, &detour->relay_probe, store->relay,
			    relay_on_answer);
		break;
	case KWB_PATH_SEARCH:
		set_relay(detour, NULL);
		search_start(detour);
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
	detour->direct_probe.detour = detour;
	detour->relay_probe.detour = detour;
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++)
		detour->search_probes[i].detour = detour;
	detour->timer = kwb_timer_new(base, detour_on_timer, detour);
	if (detour->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(detour->timer, kwb_clock_now_ns() + KWB_PATH_CHECK_NS);
	return 0;
}

void
kwb_detour_finish(struct kwb_detour *detour)
{
	uint32_t i;

	kwb_store_cancel(detour->store, &detour->direct_probe.call);
	kwb_store_cancel(detour->store, &detour->relay_probe.call);
	for (i = 0; i < KWB_PATH_PARALLEL_PROBES; i++)
		kwb_store_cancel(detour->store, &detour->search_probes[i].call);
	event_free(detour->timer);
}
