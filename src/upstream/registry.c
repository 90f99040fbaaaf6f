/*
 * Registry of upstreams: what they say of themselves, and what this node has
 * seen of them. An upstream that has left the list stays in memory while a
 * request refers to it.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

void
kwb_registry_init(struct kwb_registry *registry)
{
	memset(registry, 0, sizeof(*registry));
}

void
kwb_registry_finish(struct kwb_registry *registry)
{
	uint32_t i;

	for (i = 0; i < registry->count; i++)
		free(registry->upstreams[i]);
	free(registry->upstreams);
	kwb_index_finish(&registry->index);
	memset(registry, 0, sizeof(*registry));
}

struct kwb_upstream *
kwb_registry_find(const struct kwb_registry *registry, const char *id)
{
	return kwb_index_get(&registry->index, id);
}

static struct kwb_upstream *
upstream_new(struct kwb_registry *registry)
{
	uint32_t room = registry->room ? registry->room * 2 : 16;
	struct kwb_upstream **upstreams;
	struct kwb_upstream *upstream;

	if (registry->count == registry->room) {
		upstreams = realloc(
		    registry->upstreams, room * sizeof(struct kwb_upstream *));
		if (upstreams == NULL)
			return NULL;
		registry->upstreams = upstreams;
		registry->room = room;
	}
	upstream = calloc(1, sizeof(*upstream));
	if (upstream != NULL)
		registry->upstreams[registry->count++] = upstream;
	return upstream;
}

/* A start under the same id knows nothing of what was before. */
static void
forget_past(struct kwb_upstream *upstream)
{
	upstream->reported = 0;
	upstream->reported_ns = 0;
	upstream->failures = 0;
	upstream->suspect_until_ns = 0;
	upstream->refused_until_ns = 0;
	upstream->pace_ns = 0;
	upstream->calm_pace_ns = 0;
}

struct kwb_upstream *
kwb_registry_put(
    struct kwb_registry *registry, const struct kwb_upstream_status *status)
{
	struct kwb_upstream *upstream = kwb_registry_find(registry, status->id);

	if (upstream == NULL) {
		upstream = upstream_new(registry);
		if (upstream == NULL)
			return NULL;
	} else if (upstream->status.incarnation_ms != status->incarnation_ms) {
		forget_past(upstream);
	}
	upstream->status = *status;
	upstream->listed = true;
	upstream->gone_ns = 0;
	if (kwb_index_put(&registry->index, upstream->status.id, upstream) !=
	    0) {
		upstream->listed = false;
		return NULL;
	}
	return upstream;
}

static void
release(struct kwb_registry *registry, struct kwb_upstream *upstream)
{
	uint32_t i;

	if (upstream->listed || upstream->references > 0)
		return;
	for (i = 0; i < registry->count; i++)
		if (registry->upstreams[i] == upstream)
			break;
	if (i == registry->count)
		return;
	registry->upstreams[i] = registry->upstreams[--registry->count];
	free(upstream);
}

void
kwb_registry_remove(struct kwb_registry *registry, const char *id)
{
	struct kwb_upstream *upstream = kwb_registry_find(registry, id);

	if (upstream == NULL)
		return;
	kwb_index_remove(&registry->index, id);
	upstream->listed = false;
	upstream->gone_ns = kwb_clock_now_ns();
	release(registry, upstream);
}

void
kwb_upstream_hold(struct kwb_upstream *upstream)
{
	upstream->references++;
}

void
kwb_upstream_drop(struct kwb_registry *registry, struct kwb_upstream *upstream)
{
	upstream->references--;
	release(registry, upstream);
}

uint64_t
kwb_upstream_version(const struct kwb_upstream *upstream, const char *model)
{
	uint32_t i;

	for (i = 0; i < upstream->status.models_count; i++)
		if (strcmp(upstream->status.models[i].name, model) == 0)
			return upstream->status.models[i].version;
	return 0;
}

void
kwb_upstream_set_version(
    struct kwb_upstream *upstream, const char *model, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < upstream->status.models_count; i++)
		if (strcmp(upstream->status.models[i].name, model) == 0)
			upstream->status.models[i].version = version;
}

void
kwb_upstream_expect(
    struct kwb_upstream *upstream, const char *model, uint64_t version)
{
	if (strcmp(upstream->home_model, model) != 0 ||
	    upstream->expected_version != version)
		upstream->loading_ns = kwb_clock_now_ns();
	kwb_text_copy(
	    upstream->home_model, sizeof(upstream->home_model), model);
	upstream->expected_version = version;
}

bool
kwb_upstream_is_loading(
    const struct kwb_upstream *upstream, const char *model, uint64_t now_ns)
{
	return strcmp(upstream->home_model, model) == 0 &&
	    upstream->expected_version >
	    kwb_upstream_version(upstream, model) &&
	    now_ns - upstream->loading_ns < KWB_WEIGHT_LOAD_MAX_NS;
}

void
kwb_upstream_ok(struct kwb_upstream *upstream)
{
	upstream->failures = 0;
	upstream->suspect_until_ns = 0;
	upstream->probing = false;
}

void
kwb_upstream_failed(struct kwb_upstream *upstream, uint64_t now_ns)
{
	uint64_t wait_ns = KWB_SUSPECT_NS;
	uint32_t i;

	upstream->probing = false;
	upstream->failures++;
	for (i = KWB_SUSPECT_FAILURES; i < upstream->failures; i++)
		if (wait_ns < KWB_SUSPECT_MAX_NS)
			wait_ns *= 2;
	if (upstream->failures >= KWB_SUSPECT_FAILURES)
		upstream->suspect_until_ns = now_ns + wait_ns;
}

void
kwb_upstream_pace(struct kwb_upstream *upstream, uint64_t taken_ns)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (taken_ns > KWB_PACE_MAX_NS || taken_ns < KWB_PACE_MIN_NS)
		return; /* a pause, or what came together after one */
	if (upstream->pace_ns == 0 ||
	    now_ns - upstream->pace_at_ns > KWB_PACE_KEEP_NS)
		upstream->pace_ns = taken_ns;
	else
		upstream->pace_ns = (upstream->pace_ns * 7 + taken_ns) / 8;
	upstream->pace_at_ns = now_ns;
	if (upstream->calm_pace_ns == 0 ||
	    upstream->pace_ns < upstream->calm_pace_ns)
		upstream->calm_pace_ns = upstream->pace_ns;
	else
		upstream->calm_pace_ns +=
		    (upstream->pace_ns - upstream->calm_pace_ns) /
		    KWB_PACE_CALM_PART;
}

/* The lower median: neither a slow upstream nor a wrong measure moves it. */
uint64_t
kwb_registry_usual_pace(
    const struct kwb_registry *registry, const char *service, uint64_t now_ns)
{
	uint64_t paces[KWB_PACE_USUAL_MAX];
	const struct kwb_upstream *upstream;
	uint32_t count = 0;
	uint32_t at;
	uint32_t i;

	for (i = 0; i < registry->count && count < KWB_PACE_USUAL_MAX; i++) {
		upstream = registry->upstreams[i];
		if (upstream->calm_pace_ns == 0 ||
		    now_ns - upstream->pace_at_ns >= KWB_PACE_USUAL_NS ||
		    strcmp(upstream->status.service, service) != 0)
			continue;
		for (at = count++;
		     at > 0 && paces[at - 1] > upstream->calm_pace_ns; at--)
			paces[at] = paces[at - 1];
		paces[at] = upstream->calm_pace_ns;
	}
	return count > 0 ? paces[(count - 1) / 2] : 0;
}
