/*
 * kwbctl: what entries and agents say of themselves.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl.h"

#define URL_MAX_BYTES 256
#define STATUS_TIMEOUT_MS 1000
#define POLL_NS (50 * KWB_MS_NS)

struct survey {
	unsigned entries;
	unsigned entries_silent;
	unsigned agents;
	unsigned behind; /* entries and agents below the revision */
};

static json_t *entry_status(const struct kwb_vm *vm);
static void survey_take(
    struct ctl *ctl, uint64_t revision, struct survey *survey);
static void survey_entry(
    json_t *status, uint64_t revision, json_t *agents, struct survey *survey);
static void entry_print(json_t *status);

int
ctl_status(struct ctl *ctl)
{
	struct kwb_vms *vms = calloc(1, sizeof(*vms));
	json_t *all = json_array(), *status;
	uint32_t i;
	int error = kwb_vms_get(&ctl->platform, vms);

	if (error != 0) {
		free(vms);
		return ctl_fail(error, "status");
	}
	for (i = 0; i < vms->count; i++) {
		if (strcmp(vms->vms[i].role, "entry") != 0)
			continue;
		status = entry_status(&vms->vms[i]);
		if (status == NULL)
			status = json_pack(
			    "{s:s, s:b}", "vm", vms->vms[i].vm, "reachable", 0);
		json_array_append_new(all, status);
		if (!ctl->json)
			entry_print(status);
	}
	if (ctl->json) {
		json_dumpf(all, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		putchar('\n');
	}
	json_decref(all);
	free(vms);
	return EXIT_DONE;
}

/* Waits until every entry and agent that answers has the revision. */
int
ctl_in_force(struct ctl *ctl, uint64_t revision)
{
	uint64_t begun_ns = kwb_clock_now_ns();
	uint64_t deadline_ns = begun_ns + ctl->wait_ms * KWB_MS_NS;
	struct survey survey;
	uint64_t passed_ms;
	bool done;

	do {
		survey_take(ctl, revision, &survey);
		done = survey.entries > 0 && survey.behind == 0 &&
		    survey.entries_silent == 0;
		if (!done)
			kwb_clock_sleep_ns(POLL_NS);
	} while (!done && kwb_clock_now_ns() < deadline_ns);
	passed_ms = (kwb_clock_now_ns() - begun_ns) / KWB_MS_NS;
	if (ctl->json)
		printf("{\"revision\":%" PRIu64 ",\"in_force\":%s,"
		       "\"entries\":%u,\"silent\":%u,\"agents\":%u,"
		       "\"behind\":%u,\"after_ms\":%" PRIu64 "}\n",
		    revision, done ? "true" : "false", survey.entries,
		    survey.entries_silent, survey.agents, survey.behind,
		    passed_ms);
	else
		printf("revision %" PRIu64 ": %s at %u entries and %u agents "
		       "after %" PRIu64 " ms (%u behind, %u silent)\n",
		    revision, done ? "in force" : "accepted, not yet in force",
		    survey.entries, survey.agents, passed_ms, survey.behind,
		    survey.entries_silent);
	return done ? EXIT_DONE : EXIT_NOT_YET;
}

static void
survey_take(struct ctl *ctl, uint64_t revision, struct survey *survey)
{
	struct kwb_vms *vms = calloc(1, sizeof(*vms));
	json_t *agents = json_object(), *status;
	uint32_t i;

	memset(survey, 0, sizeof(*survey));
	if (vms == NULL || kwb_vms_get(&ctl->platform, vms) != 0)
		survey->entries_silent = 1;
	for (i = 0; vms != NULL && i < vms->count; i++) {
		if (strcmp(vms->vms[i].role, "entry") != 0)
			continue;
		survey->entries++;
		status = entry_status(&vms->vms[i]);
		if (status == NULL)
			survey->entries_silent++;
		else
			survey_entry(status, revision, agents, survey);
		json_decref(status);
	}
	survey->agents = (unsigned)json_object_size(agents);
	json_decref(agents);
	free(vms);
}

/* An agent counts once, however many entries know it. */
static void
survey_entry(
    json_t *status, uint64_t revision, json_t *agents, struct survey *survey)
{
	json_t *agent;
	size_t i;

	if ((uint64_t)json_integer_value(
		json_object_get(status, "lists_revision")) < revision)
		survey->behind++;
	json_array_foreach (json_object_get(status, "agents"), i, agent) {
		const char *vm =
		    json_string_value(json_object_get(agent, "vm"));

		if (!json_is_true(json_object_get(agent, "connected")) ||
		    json_object_get(agents, vm) != NULL)
			continue;
		json_object_set_new(agents, vm, json_true());
		if ((uint64_t)json_integer_value(
			json_object_get(agent, "lists_revision")) < revision)
			survey->behind++;
	}
}

static json_t *
entry_status(const struct kwb_vm *vm)
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
