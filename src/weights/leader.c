/*
 * Weight roll-out. Each plan and failure domain has a leader, an entry that
 * holds the lease with its fencing token; it orders the domain's servers to
 * the newest version, part of them at once. Entries nearest by rendezvous rank
 * try for the lease. In an outage of the table the last holder goes on: nobody
 * else can have taken the lease, and agents refuse a lower token.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

#define LEADS_MAX 256
#define ORDERS_MAX KWB_PEERS_MAX
#define LOOP_NS (50 * KWB_MS_NS)
#define RANK_MAX 4
#define TRY_NS (1000 * KWB_MS_NS)
#define TRY_RANK_NS (2000 * KWB_MS_NS)
#define HINT_NS (100 * KWB_MS_NS)
#define FAILED_PAUSE_NS (1000 * KWB_MS_NS)

/* An order under way at one agent. */
struct order_open {
	uint64_t request; /* 0 when free */
	uint64_t deadline_ns;
	char vm[KWB_NAME_MAX_BYTES];
};

/* One plan in one failure domain. */
struct lead {
	char plan[KWB_NAME_MAX_BYTES];
	char model[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES];
	char failure_domain[KWB_NAME_MAX_BYTES];
	enum kwb_objective objective;
	uint32_t slack_versions;
	bool wanted;
	bool leads; /* holds the lease, or did when the table went out */
	struct kwb_lease lease;
	uint64_t try_ns;
	uint64_t poll_ns;
	uint64_t hint_ns; /* not before, on a trainer's word */
	uint64_t newest;
	struct order_open orders[ORDERS_MAX];
};

struct leader {
	struct kwb_entry *entry;
	struct inbox inbox;
	unsigned leads_count;
	struct lead *leads[LEADS_MAX];
	struct target targets[KWB_PEERS_MAX]; /* of the servers looked at */
};

static void leads_update(struct leader *leader);
static void lead_want(struct leader *leader, const struct kwb_plan *plan,
    const char *failure_domain);
static uint32_t slack_of(
    const struct kwb_entry *entry, const struct kwb_plan *plan);
static unsigned rank_of(struct kwb_entry *entry, const struct lead *lead);
static void lead_lease(struct leader *leader, struct lead *lead);
static void lead_poll(struct leader *leader, struct lead *lead);
static void lead_order(struct leader *leader, struct lead *lead);
static unsigned servers_of(struct leader *leader, const struct lead *lead,
    struct kwb_swap_server *servers);
static bool order_is_open(const struct lead *lead, const char *vm);
static void order_send(
    struct leader *leader, struct lead *lead, const struct target *target);
static void order_event(struct leader *leader, const struct event *event);
static void order_close(struct leader *leader, struct order_open *order);

void *
leader_run(void *argument)
{
	struct kwb_entry *entry = argument;
	struct leader *leader = calloc(1, sizeof(*leader));
	uint64_t revision = 0, known;
	uint32_t changes = 0, now_changes;
	struct event *event;
	bool leading;
	unsigned i;

	if (leader == NULL)
		return NULL;
	kwb_current_lists_register_thread();
	leader->entry = entry;
	inbox_init(&leader->inbox);
	while (
	    !atomic_load(&entry->stopping) && !atomic_load(&entry->draining)) {
		known = kwb_current_lists_revision();
		now_changes = atomic_load(&entry->vms_changes);
		if (known != revision || now_changes != changes)
			leads_update(leader);
		revision = known;
		changes = now_changes;
		leading = false;
		for (i = 0; i < leader->leads_count; i++) {
			struct lead *lead = leader->leads[i];

			if (!lead->wanted)
				continue;
			lead_lease(leader, lead);
			if (!lead->leads)
				continue;
			leading = true;
			lead_poll(leader, lead);
			lead_order(leader, lead);
		}
		atomic_store(&entry->leading, leading);
		event =
		    inbox_wait(&leader->inbox, kwb_clock_now_ns() + LOOP_NS);
		for (; event != NULL; event = inbox_wait(&leader->inbox, 0)) {
			order_event(leader, event);
			inbox_event_free(event);
		}
	}
	for (i = 0; i < leader->leads_count; i++) {
		struct lead *lead = leader->leads[i];
		unsigned j;

		for (j = 0; j < ORDERS_MAX; j++)
			order_close(leader, &lead->orders[j]);
		if (lead->leads)
			kwb_lease_release(&lead->lease, &entry->platform);
		free(lead);
	}
	inbox_finish(&leader->inbox);
	free(leader);
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* One lead for each training plan and each domain its pool has agents in. */
static void
leads_update(struct leader *leader)
{
	struct kwb_entry *entry = leader->entry;
	const struct kwb_lists *lists;
	unsigned i, j;

	for (i = 0; i < leader->leads_count; i++)
		leader->leads[i]->wanted = false;
	pthread_mutex_lock(&entry->vms_lock);
	lists = kwb_current_lists_read_lock();
	for (i = 0; lists != NULL && i < lists->plans_count; i++) {
		const struct kwb_plan *plan = &lists->plans[i];

		if (plan->kind != KWB_PLAN_TRAINING)
			continue;
		for (j = 0; j < entry->vms->count; j++)
			if (strcmp(entry->vms->vms[j].role, "agent") == 0 &&
			    strcmp(entry->vms->vms[j].pool, plan->pool) == 0)
				lead_want(leader, plan,
				    entry->vms->vms[j].failure_domain);
	}
	kwb_current_lists_read_unlock();
	pthread_mutex_unlock(&entry->vms_lock);
}

static void
lead_want(struct leader *leader, const struct kwb_plan *plan,
    const char *failure_domain)
{
	char name[KWB_KEY_MAX_BYTES];
	struct lead *lead = NULL;
	unsigned i;

	for (i = 0; i < leader->leads_count && lead == NULL; i++)
		if (strcmp(leader->leads[i]->plan, plan->name) == 0 &&
		    strcmp(leader->leads[i]->failure_domain, failure_domain) ==
			0)
			lead = leader->leads[i];
	if (lead == NULL) {
		if (leader->leads_count == LEADS_MAX)
			return;
		lead = calloc(1, sizeof(*lead));
		if (lead == NULL)
			return;
		leader->leads[leader->leads_count++] = lead;
		kwb_text_copy(lead->plan, sizeof(lead->plan), plan->name);
		kwb_text_copy(lead->failure_domain,
		    sizeof(lead->failure_domain), failure_domain);
		snprintf(name, sizeof(name), "leases/weights/%s/%s", plan->name,
		    failure_domain);
		kwb_lease_init(&lead->lease, name, leader->entry->settings->vm,
		    leader->entry->origin.incarnation);
	}
	lead->wanted = true;
	lead->objective = plan->objective;
	lead->slack_versions = slack_of(leader->entry, plan);
	kwb_text_copy(lead->model, sizeof(lead->model), plan->model);
	kwb_text_copy(lead->pool, sizeof(lead->pool), plan->pool);
}

/*
 * How far behind a busy server may stay: the trainer goes on by one version in
 * the meantime, and what the server makes has still to be within the bound.
 */
static uint32_t
slack_of(const struct kwb_entry *entry, const struct kwb_plan *plan)
{
	if (entry->policy != KWB_POLICY_DEFAULT ||
	    plan->objective != KWB_OBJECTIVE_IDLE ||
	    plan->staleness_versions == 0)
		return 0;
	return plan->staleness_versions - 1;
}

static void
lead_lease(struct leader *leader, struct lead *lead)
{
	struct kwb_entry *entry = leader->entry;
	uint64_t now_ns = kwb_clock_now_ns();
	unsigned rank;
	int error;

	if (now_ns < lead->try_ns)
		return;
	rank = rank_of(entry, lead);
	if (!lead->leads && rank >= RANK_MAX) {
		lead->try_ns = now_ns + TRY_NS;
		return;
	}
	error = kwb_lease_acquire(&lead->lease, &entry->platform);
	if (error == 0 && !lead->leads)
		kwb_log(KWB_LOG_INFO, "weights",
		    "event=lead plan=%s failure_domain=%s token=%" PRIu64,
		    lead->plan, lead->failure_domain,
		    lead->lease.fencing_token);
	if (error == KWB_ERR_PLATFORM_CONFLICT && lead->leads)
		kwb_log(KWB_LOG_WARN, "weights",
		    "event=lead_lost plan=%s failure_domain=%s", lead->plan,
		    lead->failure_domain);
	if (error == 0)
		lead->leads = true;
	else if (error == KWB_ERR_PLATFORM_CONFLICT)
		lead->leads = false;
	entry_lead(entry, lead->plan, lead->failure_domain, lead->leads);
	now_ns = kwb_clock_now_ns();
	lead->try_ns = now_ns +
	    (lead->leads ? KWB_LEASE_RENEW_NS : TRY_NS + rank * TRY_RANK_NS);
}

static void
lead_poll(struct leader *leader, struct lead *lead)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t version = 0, named;

	/* A trainer that names newer weights has published them. */
	named = atomic_load(
	    &entry_gate(leader->entry, lead->plan)->trainer_version);
	if (now_ns < lead->poll_ns &&
	    (named <= lead->newest || now_ns < lead->hint_ns))
		return;
	lead->poll_ns = now_ns + KWB_WEIGHTS_POLL_NS;
	lead->hint_ns = now_ns + HINT_NS;
	if (kwb_weights_newest(
		&leader->entry->platform, lead->model, &version) == 0 &&
	    version > lead->newest)
		lead->newest = version;
}

static void
lead_order(struct leader *leader, struct lead *lead)
{
	struct kwb_swap_server servers[KWB_PEERS_MAX];
	struct kwb_swap swap = {.target = lead->newest,
	    .slack_versions = lead->slack_versions,
	    .objective = lead->objective};
	uint64_t now_ns = kwb_clock_now_ns();
	unsigned i, count;
	int pick;

	for (i = 0; i < ORDERS_MAX; i++)
		if (lead->orders[i].request != 0 &&
		    now_ns >= lead->orders[i].deadline_ns)
			order_close(leader, &lead->orders[i]);
	count = servers_of(leader, lead, servers);
	while ((pick = kwb_swap_pick(&swap, servers, count)) >= 0) {
		order_send(leader, lead, &leader->targets[pick]);
		servers[pick].swapping = true;
	}
}

static unsigned
servers_of(struct leader *leader, const struct lead *lead,
    struct kwb_swap_server *servers)
{
	struct target *targets = leader->targets;
	struct peers *peers = &leader->entry->peers;
	unsigned i, j, count = 0;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		const struct peer *peer = &peers->peers[i];
		struct kwb_swap_server *server = &servers[count];

		if (!peer->greeted || strcmp(peer->pool, lead->pool) != 0 ||
		    strcmp(peer->failure_domain, lead->failure_domain) != 0)
			continue;
		memset(server, 0, sizeof(*server));
		server->usable = peer->upstream_up && !peer->leaving;
		server->in_flight = peer->own + peer->others;
		for (j = 0; j < peer->models_count; j++)
			if (strcmp(peer->models[j].model, lead->model) == 0) {
				server->version = peer->models[j].version;
				server->swapping = peer->models[j].swapping;
			}
		if (order_is_open(lead, peer->vm))
			server->swapping = true;
		targets[count].peer = (int)i;
		targets[count].link = peer->link;
		kwb_text_copy(
		    targets[count].vm, sizeof(targets[count].vm), peer->vm);
		count++;
	}
	pthread_mutex_unlock(&peers->lock);
	return count;
}

static bool
order_is_open(const struct lead *lead, const char *vm)
{
	unsigned i;

	for (i = 0; i < ORDERS_MAX; i++)
		if (lead->orders[i].request != 0 &&
		    strcmp(lead->orders[i].vm, vm) == 0)
			return true;
	return false;
}

static void
order_send(
    struct leader *leader, struct lead *lead, const struct target *target)
{
	struct kwb_entry *entry = leader->entry;
	Kwb__Wire__Order wire = KWB__WIRE__ORDER__INIT;
	KWB_FRAME(frame, ORDER, order, wire);
	struct order_open *order = NULL;
	unsigned i;

	for (i = 0; i < ORDERS_MAX && order == NULL; i++)
		if (lead->orders[i].request == 0)
			order = &lead->orders[i];
	if (order == NULL)
		return;
	order->request = registry_open_request(
	    &entry->registry, &leader->inbox, target->link, lead);
	order->deadline_ns =
	    kwb_clock_now_ns() + KWB_SWAP_TIMEOUT_MS * KWB_MS_NS;
	kwb_text_copy(order->vm, sizeof(order->vm), target->vm);
	wire.request = order->request;
	wire.plan = lead->plan;
	wire.model = lead->model;
	wire.version = lead->newest;
	wire.fencing_token = lead->lease.fencing_token;
	kwb_log(KWB_LOG_INFO, "weights",
	    "event=order plan=%s vm=%s version=%" PRIu64 " token=%" PRIu64,
	    lead->plan, target->vm, wire.version, wire.fencing_token);
	kwb_link_send(&entry->loop, target->link, &frame);
}

static void
order_event(struct leader *leader, const struct event *event)
{
	struct lead *lead = event->owner;
	const Kwb__Wire__OrderReply *reply = NULL;
	unsigned i;

	if (event->kind == EVENT_FRAME &&
	    event->frame->body_case == KWB__WIRE__FRAME__BODY_ORDER_REPLY)
		reply = event->frame->order_reply;
	for (i = 0; i < ORDERS_MAX; i++) {
		struct order_open *order = &lead->orders[i];

		if (order->request != event->request)
			continue;
		if (reply != NULL && reply->error != 0) {
			/* Not at once again: it would fail the same way. */
			kwb_log(KWB_LOG_WARN, "weights",
			    "event=order_failed plan=%s vm=%s error=%s",
			    lead->plan, order->vm,
			    kwb_error_name(reply->error));
			order->deadline_ns =
			    kwb_clock_now_ns() + FAILED_PAUSE_NS;
			if (reply->error == KWB_ERR_CALL_FENCED)
				lead->try_ns = 0;
			return;
		}
		order_close(leader, order);
	}
}

static void
order_close(struct leader *leader, struct order_open *order)
{
	if (order->request != 0)
		registry_close_request(
		    &leader->entry->registry, order->request);
	order->request = 0;
}

/* Rank of this entry for the lead: the domain's own entries come first. */
static unsigned
rank_of(struct kwb_entry *entry, const struct lead *lead)
{
	const char *self = entry->settings->vm;
	uint64_t seed = kwb_hash(lead->lease.name, 0);
	uint64_t own = kwb_hash(self, seed);
	bool own_near =
	    strcmp(entry->settings->failure_domain, lead->failure_domain) == 0;
	unsigned rank = 0;
	uint32_t i;

	pthread_mutex_lock(&entry->vms_lock);
	for (i = 0; i < entry->vms->count; i++) {
		const struct kwb_vm *vm = &entry->vms->vms[i];
		bool near =
		    strcmp(vm->failure_domain, lead->failure_domain) == 0;

		if (strcmp(vm->role, "entry") != 0 || strcmp(vm->vm, self) == 0)
			continue;
		if (near != own_near ? near : kwb_hash(vm->vm, seed) > own)
			rank++;
	}
	pthread_mutex_unlock(&entry->vms_lock);
	return rank;
}
