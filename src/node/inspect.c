/*
 * What a node itself knows of its upstreams, for operators: the store shows
 * what they report, and not which of them this node avoids, nor why.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"

/* Why nothing new starts there, or "ready". */
static const char *
state_of(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	if (!upstream->listed)
		return "gone";
	if (upstream->is_leaving)
		return "leaving";
	if (upstream->status.draining)
		return "draining";
	if (upstream->failures >= KWB_SUSPECT_FAILURES)
		return "suspect";
	return upstream->backoff_until_ns > now_ns ? "refused" : "ready";
}

int
inspect_upstreams(const struct kwb_node *node, struct kwb_buf *out)
{
	const struct kwb_registry *registry = &node->registry;
	uint64_t now_ns = kwb_clock_now_ns();
	json_t *list = json_array();
	char *text;
	uint32_t i;
	int code;

	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "upstream",
			upstream->status.id, "service",
			upstream->status.service, "state",
			state_of(upstream, now_ns), "in_flight",
			(json_int_t)upstream->in_flight, "reported_load",
			(json_int_t)upstream->reported_load, "stored_age_ms",
			(json_int_t)((now_ns - upstream->stored_ns) /
			    KWB_MS_NS),
			"pace_us", (json_int_t)(upstream->pace_ns / 1000)));
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	if (text == NULL)
		return KWB_ERR_MEMORY;
	code = kwb_buf_add(out, text, strlen(text));
	free(text);
	return code;
}
