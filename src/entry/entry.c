/*
 * Start and stop of an entry, the state that it keeps for each plan, and the
 * thread that reads the lists and the VM list from the platform and keeps links
 * to the peers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

#define LOOP_PAUSE_NS (50 * KWB_MS_NS)	    /* between passes of a loop */
#define BALANCER_WAIT_NS (2000 * KWB_MS_NS) /* for it to see /health */
#define QUIET_NS (300 * KWB_MS_NS)	    /* without a request, at the end */

static void *membership_run(void *argument);
static void read_lists(struct kwb_entry *entry);
static bool read_vms(struct kwb_entry *entry, struct kwb_vms *fresh);
static void seeds_to_vms(
    const struct kwb_entry_settings *settings, struct kwb_vms *vms);

/*
 * Starts an entry with its threads and its HTTP server; 0 or a KWB_ERR_ number.
 * The settings are not copied and must outlive it.
 */
int
kwb_entry_start(
    struct kwb_entry **started, const struct kwb_entry_settings *settings)
{
	struct kwb_entry *entry = calloc(1, sizeof(*entry));
	int error;

	if (entry == NULL)
		return KWB_ERR_MEMORY;
	entry->settings = settings;
	entry->origin.vm = settings->vm;
	entry->origin.incarnation =
	    kwb_clock_wall_ms() * 1000 + kwb_clock_now_ns() % 1000;
	kwb_policy_parse(&entry->policy, settings->policy);
	kwb_platform_init(&entry->platform, settings->platform);
	peers_init(&entry->peers);
	registry_init(&entry->registry);
	pthread_mutex_init(&entry->plan_states_lock, NULL);
	pthread_mutex_init(&entry->vms_lock, NULL);
	entry->vms = calloc(1, sizeof(*entry->vms));
	if (entry->vms == NULL)
		return KWB_ERR_MEMORY;
	seeds_to_vms(settings, entry->vms);
	error = kwb_loop_init(&entry->loop, &peer_link_ops, entry);
	if (error == 0)
		error = kwb_loop_start(&entry->loop);
	if (error == 0 &&
	    (pthread_create(
		 &entry->membership_thread, NULL, membership_run, entry) ||
		pthread_create(&entry->leader_thread, NULL, leader_run, entry)))
		error = KWB_ERR_SYSTEM;
	if (error == 0)
		error = http_start(entry);
	if (error != 0)
		return error;
	kwb_log(KWB_LOG_INFO, "entry",
	    "event=start vm=%s failure_domain=%s listen=%s policy=%d",
	    settings->vm, settings->failure_domain, settings->listen,
	    entry->policy);
	*started = entry;
	return 0;
}

/*
 * Shuts down gracefully. /health fails first, so that a load balancer sends new
 * requests elsewhere. Until that is noticed the port stays open, and requests
 * are served until they end or the drain time is over. Streams of steps end
 * after a complete sample. Frees the entry.
 */
void
kwb_entry_stop(struct kwb_entry *entry)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t deadline_ns = now_ns + entry->settings->drain_ms * KWB_MS_NS;
	uint64_t balancer_until_ns = now_ns + BALANCER_WAIT_NS;

	kwb_log(KWB_LOG_INFO, "entry", "event=draining active=%u",
	    atomic_load(&entry->active));
	atomic_store(&entry->draining, true);
	while (kwb_clock_now_ns() < deadline_ns &&
	    (kwb_clock_now_ns() < balancer_until_ns ||
		atomic_load(&entry->active) > 0 ||
		kwb_clock_now_ns() <
		    atomic_load(&entry->last_request_ns) + QUIET_NS))
		kwb_clock_sleep_ns(LOOP_PAUSE_NS);
	atomic_store(&entry->stopping, true);
	http_stop(entry);
	pthread_join(entry->leader_thread, NULL);
	pthread_join(entry->membership_thread, NULL);
	kwb_loop_finish(&entry->loop);
	peers_finish(&entry->peers);
	registry_finish(&entry->registry);
	kwb_log(KWB_LOG_INFO, "entry", "event=stop active=%u",
	    atomic_load(&entry->active));
	free(entry->vms);
	free(entry);
}

/*
 * Notes that samples of a plan are pulled here, so that the entry connects to
 * the plan's holders.
 */
void
entry_note_demand(struct kwb_entry *entry, struct plan_state *plan_state)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t previous_ns =
	    atomic_exchange(&plan_state->last_demand_ns, now_ns);

	if (previous_ns == 0 || now_ns - previous_ns > KWB_DEMAND_TTL_NS / 2)
		atomic_fetch_add(&entry->demand_changes, 1);
}

/*
 * Notes whether this entry leads a plan's weight swaps in a failure domain, so
 * that it connects to the plan's holders there. Domains of a plan beyond
 * LEAD_DOMAINS_MAX are not noted.
 */
void
entry_set_leading(struct kwb_entry *entry, const char *plan,
    const char *failure_domain, bool leads)
{
	struct plan_state *plan_state = entry_plan_state(entry, plan);
	unsigned i;

	if (entry_is_leading(entry, plan, failure_domain) == leads)
		return;
	pthread_mutex_lock(&entry->plan_states_lock);
	for (i = 0; i < plan_state->lead_domains_count; i++)
		if (strcmp(plan_state->lead_domains[i], failure_domain) == 0)
			break;
	if (!leads) {
		plan_state->lead_domains_count--;
		memmove(plan_state->lead_domains[i],
		    plan_state->lead_domains[i + 1],
		    (plan_state->lead_domains_count - i) *
			sizeof(plan_state->lead_domains[i]));
	} else if (i < LEAD_DOMAINS_MAX) {
		kwb_text_copy(plan_state->lead_domains[i],
		    sizeof(plan_state->lead_domains[i]), failure_domain);
		plan_state->lead_domains_count++;
	}
	pthread_mutex_unlock(&entry->plan_states_lock);
	atomic_fetch_add(&entry->demand_changes, 1);
}

/* Whether this entry leads a plan's weight swaps in a failure domain. */
bool
entry_is_leading(
    struct kwb_entry *entry, const char *plan, const char *failure_domain)
{
	struct plan_state *plan_state = entry_plan_state(entry, plan);
	bool leads = false;
	unsigned i;

	pthread_mutex_lock(&entry->plan_states_lock);
	for (i = 0; i < plan_state->lead_domains_count; i++)
		if (strcmp(plan_state->lead_domains[i], failure_domain) == 0)
			leads = true;
	pthread_mutex_unlock(&entry->plan_states_lock);
	return leads;
}

/*
 * The state of a plan, added if missing. When the table is full, all further
 * plans share the last element.
 */
struct plan_state *
entry_plan_state(struct kwb_entry *entry, const char *plan)
{
	struct plan_state *plan_state;
	unsigned i;

	pthread_mutex_lock(&entry->plan_states_lock);
	for (i = 0; i < entry->plan_states_count; i++)
		if (strcmp(entry->plan_states[i].plan, plan) == 0)
			break;
	if (i == KWB_PLANS_MAX)
		i--;
	plan_state = &entry->plan_states[i];
	if (i == entry->plan_states_count) {
		entry->plan_states_count++;
		kwb_text_copy(plan_state->plan, sizeof(plan_state->plan), plan);
		kwb_retry_budget_init(&plan_state->retry_budget);
	}
	pthread_mutex_unlock(&entry->plan_states_lock);
	return plan_state;
}

/* 64 random bits by xorshift, to choose among agents; not for secrets. */
uint64_t
entry_random(void)
{
	static _Thread_local uint64_t state;

	if (state == 0)
		state = kwb_clock_now_ns() ^ (uint64_t)(uintptr_t)&state;
	state ^= state << 13;
	state ^= state >> 7;
	state ^= state << 17;
	return state;
}

/* Thread that keeps the lists, the VM list and the links to peers current. */
static void *
membership_run(void *argument)
{
	struct kwb_entry *entry = argument;
	struct kwb_vms *fresh = calloc(1, sizeof(*fresh));
	uint64_t next_lists_ns = 0, next_vms_ns = 0, now_ns;
	uint32_t seen_demand_changes = 0;
	bool changed;

	if (fresh == NULL)
		return NULL;
	kwb_current_lists_register_thread();
	peers_update(entry, entry->vms);
	while (!atomic_load(&entry->stopping)) {
		now_ns = kwb_clock_now_ns();
		if (now_ns >= next_lists_ns) {
			read_lists(entry);
			next_lists_ns = now_ns + KWB_LISTS_POLL_NS;
		}
		changed =
		    seen_demand_changes != atomic_load(&entry->demand_changes);
		seen_demand_changes = atomic_load(&entry->demand_changes);
		if (now_ns >= next_vms_ns) {
			changed = read_vms(entry, fresh) || changed;
			next_vms_ns = now_ns + KWB_VMS_POLL_NS;
		}
		if (changed)
			peers_update(entry, entry->vms);
		peers_reconnect(entry);
		kwb_clock_sleep_ns(LOOP_PAUSE_NS);
	}
	free(fresh);
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* Reads the lists, and sends them to the peers if they are newer. */
static void
read_lists(struct kwb_entry *entry)
{
	struct kwb_buf text;
	uint64_t revision = 0;
	int error;

	kwb_buf_init(&text);
	error = kwb_lists_read(
	    &entry->platform, kwb_current_lists_revision(), &text, &revision);
	atomic_store(&entry->platform_up,
	    error >= 0 || error == KWB_ERR_PLATFORM_MISSING);
	if (error == 0 && revision > kwb_current_lists_revision() &&
	    kwb_current_lists_update(text.data, text.used_bytes, revision) > 0)
		peers_push_lists(entry);
	kwb_buf_finish(&text);
}

/*
 * Reads the VM list into fresh and from there into the entry. An error or an
 * empty list changes nothing, and the result is false.
 */
static bool
read_vms(struct kwb_entry *entry, struct kwb_vms *fresh)
{
	if (kwb_vms_get(&entry->platform, fresh) != 0 || fresh->count == 0)
		return false;
	pthread_mutex_lock(&entry->vms_lock);
	memcpy(entry->vms, fresh, sizeof(*fresh));
	pthread_mutex_unlock(&entry->vms_lock);
	atomic_fetch_add(&entry->vms_changes, 1);
	return true;
}

/* Fills the VM list from the settings, until the platform's has been read. */
static void
seeds_to_vms(const struct kwb_entry_settings *settings, struct kwb_vms *vms)
{
	uint32_t i;

	for (i = 0; i < settings->seeds_count && i < KWB_VMS_MAX; i++) {
		const struct kwb_seed *seed = &settings->seeds[i];
		struct kwb_vm *vm = &vms->vms[vms->count++];

		kwb_text_copy(vm->vm, sizeof(vm->vm), seed->vm);
		kwb_text_copy(vm->failure_domain, sizeof(vm->failure_domain),
		    seed->failure_domain);
		kwb_text_copy(vm->pool, sizeof(vm->pool), seed->pool);
		kwb_text_copy(vm->role, sizeof(vm->role), "agent");
		kwb_address_parse(&vm->address, seed->address);
	}
}
