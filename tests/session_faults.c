/*
 * The faults of fault sessions. Each has a function that injects it and one
 * that heals it; the index, made from the seed, selects the target process.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "session.h"

#define ENTRIES 2
#define ENGINES 3
#define SERVICES 2
#define DURATION_MS 4500
/* Past every lease and every deadline for a silent peer. */
#define FREEZE_DURATION_MS 8000
/* Past the time for which a lost VM keeps its share. */
#define LOST_VM_DURATION_MS 17000
/* For taking a lost VM's share over, once its time is up. */
#define TAKE_OVER_MAX_MS 1000
/* Past two polls of the VM list. */
#define VM_LIST_READ_NS (5000 * KWB_MS_NS)
/* A quarter of KWB_SHARE_POLL_NS. */
#define OUTAGE_END_STEP_NS (500 * KWB_MS_NS)
#define PLATFORM_DELAY_MS 1200
/* After this each order client has an order running. */
#define ORDERS_START_NS (500 * KWB_MS_NS)

/* What a fault hits: a daemon's process or a fake upstream. */
enum target_kind {
	TARGET_ENTRY,
	TARGET_LLM_AGENT,
	TARGET_SHOP_AGENT,
	TARGET_ENGINE,
	TARGET_SERVICE
};

/* Prints the name of the process that the index selects, and returns it. */
static const char *
target(enum target_kind kind, unsigned index, char *name)
{
	static const struct {
		const char *prefix;
		unsigned count;
		unsigned first;
	} kinds[] = {
	    [TARGET_ENTRY] = {"entry", ENTRIES, 1},
	    [TARGET_LLM_AGENT] = {"llm", ENGINES, 1},
	    [TARGET_SHOP_AGENT] = {"shop", SERVICES, ENGINES + 1},
	    [TARGET_ENGINE] = {"engine", ENGINES, 1},
	    [TARGET_SERVICE] = {"service", SERVICES, ENGINES + 1},
	};

	snprintf(name, CLUSTER_NAME_MAX_BYTES, "%s-%u", kinds[kind].prefix,
	    index % kinds[kind].count + kinds[kind].first);
	return name;
}

/* Kills the process; starts it again. */
#define DEFINE_KILL_FAULT(fault, kind)                                         \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_kill_process(                                          \
		    &session->cluster, target(kind, index, name));             \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_start_process(                                         \
		    &session->cluster, target(kind, index, name));             \
	}

/* Sends a signal to the process; sends another one to heal. */
#define DEFINE_SIGNAL_FAULT(fault, kind, inject_signal, heal_signal)           \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		if (kind == TARGET_ENTRY)                                      \
			session->frozen_entry = index % ENTRIES + 1;           \
		cluster_signal_process(&session->cluster,                      \
		    target(kind, index, name), inject_signal);                 \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_signal_process(&session->cluster,                      \
		    target(kind, index, name), heal_signal);                   \
	}

/*
 * Sets a control of the relay in front of the target; resets it to 0. "silent"
 * stays: it affects only the connections open when its value changes, and a
 * reset would silence those opened since.
 */
#define DEFINE_RELAY_FAULT(fault, kind, control, value)                        \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES],                             \
		    relay[2 * CLUSTER_NAME_MAX_BYTES];                         \
                                                                               \
		snprintf(relay, sizeof(relay), "relay-%s",                     \
		    target(kind, index, name));                                \
		cluster_set_control(&session->cluster, relay, control, value); \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES],                             \
		    relay[2 * CLUSTER_NAME_MAX_BYTES];                         \
                                                                               \
		snprintf(relay, sizeof(relay), "relay-%s",                     \
		    target(kind, index, name));                                \
		if (strcmp(control, "silent") != 0)                            \
			cluster_set_control(                                   \
			    &session->cluster, relay, control, 0);             \
	}

/* Sets a control of a fake upstream; resets it to 0. */
#define DEFINE_CONTROL_FAULT(fault, kind, control, value)                      \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_set_control(&session->cluster,                         \
		    target(kind, index, name), control, value);                \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_set_control(                                           \
		    &session->cluster, target(kind, index, name), control, 0); \
	}

/* Sets a control of the fake platform; resets it to 0. */
#define DEFINE_PLATFORM_FAULT(fault, control, value)                           \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		(void)index;                                                   \
		session->is_platform_faulty = true;                            \
		cluster_set_control(                                           \
		    &session->cluster, "platform", control, value);            \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		(void)index;                                                   \
		cluster_set_control(                                           \
		    &session->cluster, "platform", control, 0);                \
		session->is_platform_faulty = false;                           \
		session->vms_readable_since_ns = kwb_clock_now_ns();           \
	}

/* A planned stop: SIGTERM, a wait for exit code 0 and a new start. */
#define DEFINE_PLANNED_STOP(fault, kind)                                       \
	static void fault##_inject(struct session *session, unsigned index)    \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
                                                                               \
		cluster_signal_process(                                        \
		    &session->cluster, target(kind, index, name), SIGTERM);    \
	}                                                                      \
	static void fault##_heal(struct session *session, unsigned index)      \
	{                                                                      \
		char name[CLUSTER_NAME_MAX_BYTES];                             \
		int code;                                                      \
                                                                               \
		target(kind, index, name);                                     \
		code = cluster_wait_process(&session->cluster, name, 25000);   \
		if (code != 0)                                                 \
			session_fail(session, "%s ended with %d", name, code); \
		cluster_start_process(&session->cluster, name);                \
	}

DEFINE_KILL_FAULT(kill_entry, TARGET_ENTRY)
DEFINE_KILL_FAULT(kill_llm, TARGET_LLM_AGENT)
DEFINE_KILL_FAULT(kill_shop, TARGET_SHOP_AGENT)
DEFINE_KILL_FAULT(kill_engine, TARGET_ENGINE)
DEFINE_SIGNAL_FAULT(freeze_entry, TARGET_ENTRY, SIGSTOP, SIGCONT)
DEFINE_SIGNAL_FAULT(freeze_llm, TARGET_LLM_AGENT, SIGSTOP, SIGCONT)
DEFINE_SIGNAL_FAULT(freeze_shop, TARGET_SHOP_AGENT, SIGSTOP, SIGCONT)
DEFINE_SIGNAL_FAULT(freeze_engine, TARGET_ENGINE, SIGSTOP, SIGCONT)
DEFINE_RELAY_FAULT(cut_llm, TARGET_LLM_AGENT, "cut", 1)
DEFINE_RELAY_FAULT(cut_shop, TARGET_SHOP_AGENT, "cut", 1)
DEFINE_RELAY_FAULT(cut_platform, TARGET_ENTRY, "cut", 1)
DEFINE_RELAY_FAULT(oneway_there, TARGET_SHOP_AGENT, "drop_there", 1)
DEFINE_RELAY_FAULT(oneway_back, TARGET_SHOP_AGENT, "drop_back", 1)
DEFINE_RELAY_FAULT(oneway_llm, TARGET_LLM_AGENT, "drop_back", 1)
DEFINE_RELAY_FAULT(silent_llm, TARGET_LLM_AGENT, "silent", 1)
DEFINE_RELAY_FAULT(silent_shop, TARGET_SHOP_AGENT, "silent", 1)
DEFINE_CONTROL_FAULT(stuck_engine, TARGET_ENGINE, "stuck", 1)
DEFINE_CONTROL_FAULT(late_service, TARGET_SERVICE, "work_ms", 2500)
DEFINE_CONTROL_FAULT(lost_service, TARGET_SERVICE, "lose_answers", 1)
DEFINE_CONTROL_FAULT(swap_fails, TARGET_ENGINE, "fail_swap", 3)
DEFINE_CONTROL_FAULT(ignore_fence, TARGET_ENGINE, "ignore_fence", 1)
DEFINE_CONTROL_FAULT(no_versions, TARGET_ENGINE, "no_versions", 1)
DEFINE_CONTROL_FAULT(load_lags, TARGET_ENGINE, "load_lag_ms", 800)
DEFINE_PLATFORM_FAULT(table_down, "down", 1)
DEFINE_PLATFORM_FAULT(table_slow, "slow_ms", PLATFORM_DELAY_MS)
DEFINE_PLATFORM_FAULT(table_loses, "lose_answers", 1)
DEFINE_PLATFORM_FAULT(objects_down, "objects_down", 1)
DEFINE_PLATFORM_FAULT(weights_down, "weights_down", 1)
DEFINE_PLANNED_STOP(stop_entry, TARGET_ENTRY)
DEFINE_PLANNED_STOP(stop_llm, TARGET_LLM_AGENT)
DEFINE_PLANNED_STOP(stop_shop, TARGET_SHOP_AGENT)

static void
cut_store_inject(struct session *session, unsigned index)
{
	cut_platform_inject(session, index);
}

/*
 * An entry that is cut off from the store must still learn of a change in time,
 * over its links to agents.
 */
static void
cut_store_heal(struct session *session, unsigned index)
{
	const char *arguments[] = {"--wait-ms", "6000", "edit", "allowance",
	    "orders", "queue=77", NULL};
	int code =
	    cluster_run_kwbctl(&session->cluster, arguments, "/dev/null");

	if (code != 0)
		session_fail(session,
		    "a change is not in force at a cut-off entry: kwbctl exits %d",
		    code);
	cut_platform_heal(session, index);
}

/* A VM leaves the VM list while its agent and engine still run. */
static void
listed_gone_inject(struct session *session, unsigned index)
{
	char name[CLUSTER_NAME_MAX_BYTES];

	cluster_find_process(
	    &session->cluster, target(TARGET_LLM_AGENT, index, name))
	    ->state[0] = '\0';
	cluster_publish_vms(&session->cluster);
}

static void
listed_gone_heal(struct session *session, unsigned index)
{
	char name[CLUSTER_NAME_MAX_BYTES];

	strcpy(cluster_find_process(
		   &session->cluster, target(TARGET_LLM_AGENT, index, name))
		   ->state,
	    "live");
	cluster_publish_vms(&session->cluster);
}

/* Agent and engine are killed while the VM list still has the VM as live. */
static void
gone_listed_inject(struct session *session, unsigned index)
{
	kill_llm_inject(session, index);
	kill_engine_inject(session, index);
}

static void
gone_listed_heal(struct session *session, unsigned index)
{
	kill_engine_heal(session, index);
	kill_llm_heal(session, index);
}

static void
verify_share_taken_over(struct session *session, uint32_t timeout_ms)
{
	if (!cluster_wait_settled(&session->cluster, timeout_ms))
		session_fail(session, "a lost VM's share was not taken over");
}

/*
 * A VM is lost for good: agent and engine are killed and it leaves the VM list.
 * The other agents must take over its part of each allowance.
 */
static void
vm_lost_inject(struct session *session, unsigned index)
{
	listed_gone_inject(session, index);
	kill_llm_inject(session, index);
	kill_engine_inject(session, index);
	session->vms_readable_since_ns = kwb_clock_now_ns();
}

static void
vm_lost_heal(struct session *session, unsigned index)
{
	uint64_t due_ns = session->vms_readable_since_ns +
	    (LOST_VM_DURATION_MS + TAKE_OVER_MAX_MS) * KWB_MS_NS;

	/* No agent can write its share while the platform is down. */
	if (!session->is_platform_faulty)
		verify_share_taken_over(
		    session, (uint32_t)kwb_clock_remaining_ms(due_ns));
	kill_engine_heal(session, index);
	kill_llm_heal(session, index);
	listed_gone_heal(session, index);
}

/*
 * The agents see that a VM is lost; then the platform is down until long after
 * the time for which the VM keeps its share. The share must be taken over as
 * soon as the platform is back. The index shifts the outage so that it ends at
 * different points of the agents' polls of the table.
 */
static void
vm_lost_then_outage_inject(struct session *session, unsigned index)
{
	vm_lost_inject(session, index);
	kwb_clock_sleep_ns(VM_LIST_READ_NS + index % 4 * OUTAGE_END_STEP_NS);
	table_down_inject(session, index);
}

static void
vm_lost_then_outage_heal(struct session *session, unsigned index)
{
	table_down_heal(session, index);
	verify_share_taken_over(session, TAKE_OVER_MAX_MS);
	vm_lost_heal(session, index);
}

/* An entry starts while the platform is down; its peers send it the lists. */
static void
start_in_outage_inject(struct session *session, unsigned index)
{
	table_down_inject(session, index);
	kill_entry_inject(session, index);
	kill_entry_heal(session, index);
}

/*
 * An entry is killed while orders run, and the one started in its place can't
 * learn the lists: the platform is down and the links to all agents are cut.
 * It must not report an order as not run that its predecessor sent.
 */
static void
start_alone_inject(struct session *session, unsigned index)
{
	unsigned i;

	for (i = 0; i < SERVICES; i++)
		late_service_inject(session, i);
	kwb_clock_sleep_ns(ORDERS_START_NS);
	table_down_inject(session, index);
	for (i = 0; i < ENGINES; i++)
		cut_llm_inject(session, i);
	for (i = 0; i < SERVICES; i++)
		cut_shop_inject(session, i);
	kill_entry_inject(session, index);
	kill_entry_heal(session, index);
}

static void
start_alone_heal(struct session *session, unsigned index)
{
	unsigned i;

	for (i = 0; i < ENGINES; i++)
		cut_llm_heal(session, i);
	for (i = 0; i < SERVICES; i++) {
		cut_shop_heal(session, i);
		late_service_heal(session, i);
	}
	table_down_heal(session, index);
}

/*
 * Two operators edit different allowances in turn, without waiting until they
 * are in force. kwbctl must exit with 0 or with 6, not in force yet.
 */
static void
operators_race_inject(struct session *session, unsigned index)
{
	unsigned i;

	(void)index;
	for (i = 0; i < 5; i++) {
		char quotes_field[32], orders_field[32];
		const char *quotes_edit[] = {"--wait-ms", "0", "edit",
		    "allowance", "quotes", quotes_field, NULL};
		const char *orders_edit[] = {"--wait-ms", "0", "edit",
		    "allowance", "orders", orders_field, NULL};

		snprintf(
		    quotes_field, sizeof(quotes_field), "queue=%u", 200 + i);
		snprintf(
		    orders_field, sizeof(orders_field), "queue=%u", 300 + i);
		if (cluster_run_kwbctl(
			&session->cluster, quotes_edit, "/dev/null") %
			    6 !=
			0 ||
		    cluster_run_kwbctl(
			&session->cluster, orders_edit, "/dev/null") %
			    6 !=
			0)
			session_fail(session,
			    "an edit of another allowance was refused");
	}
}

static void
heal_nothing(struct session *session, unsigned index)
{
	(void)session;
	(void)index;
}

#define FAULT(name, duration)                                                  \
	{                                                                      \
#name, name##_inject, name##_heal, duration, false, NULL       \
	}

const struct fault session_faults[] = {
    FAULT(kill_entry, DURATION_MS),
    FAULT(kill_llm, DURATION_MS),
    FAULT(kill_shop, DURATION_MS),
    FAULT(kill_engine, DURATION_MS),
    FAULT(freeze_entry, FREEZE_DURATION_MS),
    FAULT(freeze_llm, FREEZE_DURATION_MS),
    FAULT(freeze_shop, FREEZE_DURATION_MS),
    FAULT(freeze_engine, FREEZE_DURATION_MS),
    FAULT(cut_llm, DURATION_MS),
    FAULT(cut_shop, DURATION_MS),
    FAULT(cut_store, DURATION_MS),
    FAULT(oneway_there, DURATION_MS),
    FAULT(oneway_back, DURATION_MS),
    FAULT(oneway_llm, DURATION_MS),
    FAULT(silent_llm, DURATION_MS),
    FAULT(silent_shop, DURATION_MS),
    FAULT(stuck_engine, DURATION_MS),
    FAULT(late_service, DURATION_MS),
    FAULT(lost_service, DURATION_MS),
    FAULT(swap_fails, DURATION_MS),
    FAULT(ignore_fence, DURATION_MS),
    FAULT(no_versions, DURATION_MS),
    FAULT(load_lags, DURATION_MS),
    FAULT(table_down, DURATION_MS),
    FAULT(table_slow, DURATION_MS),
    FAULT(table_loses, DURATION_MS),
    FAULT(objects_down, DURATION_MS),
    FAULT(weights_down, DURATION_MS),
    FAULT(gone_listed, DURATION_MS),
    {"stop_entry", stop_entry_inject, stop_entry_heal, DURATION_MS, true, NULL},
    {"stop_llm", stop_llm_inject, stop_llm_heal, DURATION_MS, true, "llm"},
    {"stop_shop", stop_shop_inject, stop_shop_heal, DURATION_MS, true, "shop"},
    {"listed_gone", listed_gone_inject, listed_gone_heal, DURATION_MS, true,
	"llm"},
    FAULT(vm_lost, LOST_VM_DURATION_MS),
    {"start_in_outage", start_in_outage_inject, table_down_heal, DURATION_MS,
	false, NULL},
    {"operators_race", operators_race_inject, heal_nothing, DURATION_MS, true,
	NULL},
    FAULT(start_alone, DURATION_MS),
    FAULT(vm_lost_then_outage, LOST_VM_DURATION_MS),
};
const unsigned session_faults_count =
    sizeof(session_faults) / sizeof(session_faults[0]);
