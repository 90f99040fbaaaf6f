/*
 * kwbctl: status of entries and agents, and whether a revision is in force.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl.h"

#define URL_MAX_BYTES 256
#define STATUS_TIMEOUT_MS 1000		/* for the status of one entry */
#define POLL_PERIOD_NS (50 * KWB_MS_NS) /* between reads of all statuses */

/* How far a revision has come. */
struct revision_counts {
	unsigned entries;
	unsigned unreachable_entries; /* also 1 without a list of VMs */
	unsigned agents;	      /* connected to a reachable entry */
	unsigned behind; /* entries and agents that have an older one */
};

static json_t *entry_read_status(const struct kwb_vm *vm);
static void revision_counts_read(
    struct ctl *ctl, uint64_t revision, struct revision_counts *counts);
static void revision_counts_add(json_t *status, uint64_t revision,
    json_t *agents, struct revision_counts *counts);
static void entry_print(json_t *status);

int
ctl_status(struct ctl *ctl)
{
	struct kwb_vms *vms = calloc(1, sizeof(*vms));
	json_t *statuses = json_array(), *status;
	uint32_t i;
	int error = kwb_vms_get(&ctl->platform, vms);

	if (error != 0) {
		free(vms);
		return ctl_print_error(error, "status");
	}
	for (i = 0; i < vms->count; i++) {
		if (strcmp(vms->vms[i].role, "entry") != 0)
			continue;
		status = entry_read_status(&vms->vms[i]);
		if (status == NULL)
			status = json_pack(
			    "{s:s, s:b}", "vm", vms->vms[i].vm, "reachable", 0);
		json_array_append_new(statuses, status);
		if (!ctl->is_json)
			entry_print(status);
	}
	if (ctl->is_json) {
		json_dumpf(
		    statuses, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		putchar('\n');
	}
	json_decref(statuses);
	free(vms);
	return EXIT_DONE;
}

/* In force: all entries can be reached, and they and all agents have it. */
int
ctl_wait_in_force(struct ctl *ctl, uint64_t revision)
{
	uint64_t started_ns = kwb_clock_now_ns();
	uint64_t deadline_ns = started_ns + ctl->wait_ms * KWB_MS_NS;
	struct revision_counts counts;
	uint64_t elapsed_ms;
	bool is_in_force;

	do {
		revision_counts_read(ctl, revision, &counts);
		is_in_force = counts.entries > 0 && counts.behind == 0 &&
		    counts.unreachable_entries == 0;
		if (!is_in_force)
			kwb_clock_sleep_ns(POLL_PERIOD_NS);
	} while (!is_in_force && kwb_clock_now_ns() < deadline_ns);
	elapsed_ms = (kwb_clock_now_ns() - started_ns) / KWB_MS_NS;
	if (ctl->is_json)
		printf("{\"revision\":%" PRIu64 ",\"in_force\":%s,"
		       "\"entries\":%u,\"silent\":%u,\"agents\":%u,"
		       "\"behind\":%u,\"after_ms\":%" PRIu64 "}\n",
		    revision, is_in_force ? "true" : "false", counts.entries,
		    counts.unreachable_entries, counts.agents, counts.behind,
		    elapsed_ms);
	else
		printf("revision %" PRIu64 ": %s at %u entries and %u agents "
		       "after %" PRIu64 " ms (%u behind, %u silent)\n",
		    revision,
		    is_in_force ? "in force" : "accepted, not yet in force",
		    counts.entries, counts.agents, elapsed_ms, counts.behind,
		    counts.unreachable_entries);
	return is_in_force ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}

static void
revision_counts_read(
    struct ctl *ctl, uint64_t revision, struct revision_counts *counts)
{
	struct kwb_vms *vms = calloc(1, sizeof(*vms));
	json_t *agents = json_object(), *status;
	uint32_t i;

	memset(counts, 0, sizeof(*counts));
	if (vms == NULL || kwb_vms_get(&ctl->platform, vms) != 0)
		counts->unreachable_entries = 1;
	for (i = 0; vms != NULL && i < vms->count; i++) {
		if (strcmp(vms->vms[i].role, "entry") != 0)
			continue;
		counts->entries++;
		status = entry_read_status(&vms->vms[i]);
		if (status == NULL)
			counts->unreachable_entries++;
		else
			revision_counts_add(status, revision, agents, counts);
		json_decref(status);
	}
	counts->agents = (unsigned)json_object_size(agents);
	json_decref(agents);
	free(vms);
}

/* Counts an entry and its agents; an agent of many entries counts once. */
static void
revision_counts_add(json_t *status, uint64_t revision, json_t *agents,
    struct revision_counts *counts)
{
	json_t *agent;
	size_t i;

	if ((uint64_t)json_integer_value(
		json_object_get(status, "lists_revision")) < revision)
		counts->behind++;
	json_array_foreach (json_object_get(status, "agents"), i, agent) {
		const char *vm =
		    json_string_value(json_object_get(agent, "vm"));

		if (!json_is_true(json_object_get(agent, "connected")) ||
		    json_object_get(agents, vm) != NULL)
			continue;
		json_object_set_new(agents, vm, json_true());
		if ((uint64_t)json_integer_value(
			json_object_get(agent, "lists_revision")) < revision)
			counts->behind++;
	}
}

/* Returns the JSON of an entry's /status; NULL if it can't be reached. */
static json_t *
entry_read_status(const struct kwb_vm *vm)
{
	char url[URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = "GET", .url = url, .timeout_ms = STATUS_TIMEOUT_MS};
	struct kwb_http_answer answer;
	json_t *status = NULL;

	snprintf(url, sizeof(url), "http://%s:%u/status", vm->address.ip,
	    vm->address.port);
	if (kwb_http_do(&request, &answer) == 0 && answer.status == 200)
		status = json_loads(kwb_buf_text(&answer.body), 0, NULL);
	kwb_http_answer_finish(&answer);
	return status;
}

static void
entry_print(json_t *status)
{
	json_t *agent, *value;
	const char *name;
	size_t i;

	printf("entry %-12s", json_string_value(json_object_get(status, "vm")));
	if (json_object_get(status, "lists_revision") == NULL) {
		printf(" not reachable\n");
		return;
	}
	printf(" revision=%lld platform_up=%d draining=%d active=%lld\n",
	    json_integer_value(json_object_get(status, "lists_revision")),
	    json_is_true(json_object_get(status, "platform_up")),
	    json_is_true(json_object_get(status, "draining")),
	    json_integer_value(json_object_get(status, "active")));
	json_array_foreach (json_object_get(status, "agents"), i, agent) {
		printf("  agent %-12s %-10s connected=%d leaving=%d up=%d "
		       "revision=%lld",
		    json_string_value(json_object_get(agent, "vm")),
		    json_string_value(json_object_get(agent, "pool")),
		    json_is_true(json_object_get(agent, "connected")),
		    json_is_true(json_object_get(agent, "leaving")),
		    json_is_true(json_object_get(agent, "upstream_up")),
		    json_integer_value(
			json_object_get(agent, "lists_revision")));
		json_object_foreach (
		    json_object_get(agent, "versions"), name, value)
			printf(" %s=v%lld", name, json_integer_value(value));
		json_object_foreach (
		    json_object_get(agent, "units"), name, value)
			printf(" %s:%lld", name, json_integer_value(value));
		printf("\n");
	}
}
