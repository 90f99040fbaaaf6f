/*
 * Registry of upstreams: what they report, and what this node has measured. An
 * upstream that is no longer listed stays in memory while a request refers to
 * it.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

int
kwb_upstream_models_add(
    struct kwb_upstream_models *models, const char *name, uint64_t version)
{
	struct kwb_upstream_model *list =
	    realloc(models->list, (models->count + 1) * sizeof(*models->list));
	char *copy = strdup(name);

	if (list != NULL)
		models->list = list;
	if (list == NULL || copy == NULL) {
		free(copy);
		return KWB_ERR_MEMORY;
	}
	list[models->count].name = copy;
	list[models->count].version = version;
	models->count++;
	return 0;
}

void
kwb_upstream_models_finish(struct kwb_upstream_models *models)
{
	uint32_t i;

	for (i = 0; i < models->count; i++)
		free(models->list[i].name);
	free(models->list);
	memset(models, 0, sizeof(*models));
}

void
kwb_upstream_status_finish(struct kwb_upstream_status *status)
{
	free(status->id);
	free(status->service);
	free(status->failure_domain);
	kwb_upstream_models_finish(&status->models);
	memset(status, 0, sizeof(*status));
}

static bool
models_are_equal(
    const struct kwb_upstream_models *a, const struct kwb_upstream_models *b)
{
	uint32_t i;

	if (a->count != b->count)
		return false;
	for (i = 0; i < a->count; i++)
		if (strcmp(a->list[i].name, b->list[i].name) != 0)
			return false;
	return true;
}

/* Most heartbeats name the same models as the one before. */
static int
models_copy(
    struct kwb_upstream_models *to, const struct kwb_upstream_models *from)
{
	struct kwb_upstream_models copy = {0};
	uint32_t i;

	if (models_are_equal(to, from)) {
		for (i = 0; i < from->count; i++)
			to->list[i].version = from->list[i].version;
		return 0;
	}
	for (i = 0; i < from->count; i++) {
		if (kwb_upstream_models_add(&copy, from->list[i].name,
			from->list[i].version) != 0) {
			kwb_upstream_models_finish(&copy);
			return KWB_ERR_MEMORY;
		}
	}
	kwb_upstream_models_finish(to);
	*to = copy;
	return 0;
}

static int
status_copy(
    struct kwb_upstream_status *to, const struct kwb_upstream_status *from)
{
	struct kwb_upstream_status copy = *from;

	if (kwb_text_replace(&to->id, from->id) != 0 ||
	    kwb_text_replace(&to->service, from->service) != 0 ||
	    kwb_text_replace(&to->failure_domain, from->failure_domain) != 0 ||
	    models_copy(&to->models, &from->models) != 0)
		return KWB_ERR_MEMORY;
	copy.id = to->id;
	copy.service = to->service;
	copy.failure_domain = to->failure_domain;
	copy.models = to->models;
	*to = copy;
	return 0;
}

static void
upstream_free(struct kwb_upstream *upstream)
{
	kwb_upstream_status_finish(&upstream->status);
	free(upstream->assigned_model);
	free(upstream);
}

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
		upstream_free(registry->upstreams[i]);
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
registry_append(struct kwb_registry *registry)
{
	uint32_t capacity = registry->capacity ? registry->capacity * 2 : 16;
	struct kwb_upstream **upstreams;
	struct kwb_upstream *upstream;

	if (registry->count == registry->capacity) {
		upstreams = realloc(registry->upstreams,
		    capacity * sizeof(struct kwb_upstream *));
		if (upstreams == NULL)
			return NULL;
		registry->upstreams = upstreams;
		registry->capacity = capacity;
	}
	upstream = calloc(1, sizeof(*upstream));
	if (upstream != NULL)
		registry->upstreams[registry->count++] = upstream;
	return upstream;
}

/* After a restart under the same id, earlier measurements do not apply. */
static void
reset_history(struct kwb_upstream *upstream)
{
	upstream->reported_load = 0;
	upstream->reported_ns = 0;
	upstream->slowness_percent = 0;
	upstream->usual_percent = 0;
	upstream->slow_since_ns = 0;
	upstream->read_ns_per_token = 0;
	upstream->failures = 0;
	upstream->failed_ns = 0;
	upstream->suspect_until_ns = 0;
	upstream->prober = NULL;
	upstream->backoff_until_ns = 0;
	upstream->pace_ns = 0;
	upstream->baseline_pace_ns = 0;
	upstream->is_leaving = false;
}

static void
free_if_unreferenced(
    struct kwb_registry *registry, struct kwb_upstream *upstream)
{
	uint32_t i;

	if (upstream->listed || upstream->ref_count > 0)
		return;
	for (i = 0; i < registry->count; i++)
		if (registry->upstreams[i] == upstream)
			break;
	if (i == registry->count)
		return;
	registry->upstreams[i] = registry->upstreams[--registry->count];
	upstream_free(upstream);
}

struct kwb_upstream *
kwb_registry_put(
    struct kwb_registry *registry, const struct kwb_upstream_status *status)
{
	struct kwb_upstream *upstream = kwb_registry_find(registry, status->id);
	bool is_new = upstream == NULL;

	if (is_new) {
		upstream = registry_append(registry);
		if (upstream == NULL)
			return NULL;
	} else if (upstream->status.incarnation_ms != status->incarnation_ms) {
		reset_history(upstream);
	}
	if (status_copy(&upstream->status, status) != 0) {
		if (is_new)
			free_if_unreferenced(registry, upstream);
		return NULL;
	}
	upstream->listed = true;
	upstream->stored_ns = kwb_clock_now_ns();
	upstream->removal_ns = 0;
	if (kwb_index_put(&registry->index, upstream->status.id, upstream) !=
	    0) {
		upstream->listed = false;
		return NULL;
	}
	return upstream;
}

void
kwb_registry_remove(struct kwb_registry *registry, const char *id)
{
	struct kwb_upstream *upstream = kwb_registry_find(registry, id);

	if (upstream == NULL)
		return;
	kwb_index_remove(&registry->index, id);
	upstream->listed = false;
	upstream->removal_ns = kwb_clock_now_ns();
	free_if_unreferenced(registry, upstream);
}

static void
upstream_log(const struct kwb_upstream *upstream, const char *event)
{
	kwb_log(KWB_LOG_INFO, "upstream",
	    "event=%s upstream=%s failures=%u in_flight=%u probed=%u "
	    "avoided_ms=%llu",
	    event, upstream->status.id, upstream->failures, upstream->in_flight,
	    upstream->prober != NULL,
	    (unsigned long long)kwb_clock_remaining_ms(
		upstream->suspect_until_ns));
}

void
kwb_upstream_begin(struct kwb_upstream *upstream, const void *request)
{
	upstream->ref_count++;
	upstream->in_flight++;
	if (upstream->failures < KWB_SUSPECT_FAILURES)
		return;
	upstream->prober = request;
	upstream_log(upstream, "probe");
}

void
kwb_upstream_end(struct kwb_registry *registry, struct kwb_upstream *upstream,
    const void *request)
{
	upstream->ref_count--;
	upstream->in_flight--;
	/* A probe that was withdrawn or refused must not keep others off. */
	if (upstream->prober == request)
		upstream->prober = NULL;
	free_if_unreferenced(registry, upstream);
}

bool
kwb_upstream_takes_requests(const struct kwb_upstream *upstream)
{
	return upstream->listed && !upstream->status.draining &&
	    !upstream->is_leaving;
}

/*
 * An upstream repeats the id of a request in all that it says of its work. Only
 * a refusal may lack it, by whoever took the connection. Without this, a late
 * copy of an answer to a request without an id would pass for the next one's.
 */
bool
kwb_answer_is_to_request(
    const struct kwb_upstream_answer *answer, const char *request_id)
{
	if (answer->id == NULL)
		return answer->not_run || request_id[0] == '\0';
	return strcmp(answer->id, request_id) == 0;
}

/* Whether an answer is certainly one of this upstream to that request. */
static bool
is_own_answer(const struct kwb_upstream *upstream, const char *request_id,
    const struct kwb_upstream_answer *answer)
{
	if (answer->id != NULL && strcmp(answer->id, request_id) != 0)
		return false;
	if (answer->upstream_id != NULL)
		return strcmp(answer->upstream_id, upstream->status.id) == 0;
	return answer->id != NULL && answer->status != 421;
}

void
kwb_upstream_note_answer(struct kwb_upstream *upstream, uint64_t incarnation_ms,
    const char *request_id, const struct kwb_upstream_answer *answer)
{
	if (!answer->leaving || upstream->is_leaving ||
	    upstream->status.incarnation_ms != incarnation_ms ||
	    !is_own_answer(upstream, request_id, answer))
		return;
	upstream->is_leaving = true;
	kwb_metric_add(KWB_METRIC_UPSTREAMS_LEAVING, 1);
	kwb_log(KWB_LOG_INFO, "upstream",
	    "event=leaving upstream=%s incarnation=%llu id=%s status=%u "
	    "in_flight=%u stored=%s stored_age_ms=%llu",
	    upstream->status.id, (unsigned long long)incarnation_ms,
	    request_id[0] != '\0' ? request_id : "-", answer->status,
	    upstream->in_flight,
	    !upstream->listed		    ? "missing"
		: upstream->status.draining ? "draining"
					    : "ready",
	    (unsigned long long)((kwb_clock_now_ns() - upstream->stored_ns) /
		KWB_MS_NS));
}

bool
kwb_upstream_is_assigned(const struct kwb_upstream *upstream, const char *model)
{
	return upstream->assigned_model != NULL &&
	    strcmp(upstream->assigned_model, model) == 0;
}

uint64_t
kwb_upstream_version(const struct kwb_upstream *upstream, const char *model)
{
	uint32_t i;

	for (i = 0; i < upstream->status.models.count; i++)
		if (strcmp(upstream->status.models.list[i].name, model) == 0)
			return upstream->status.models.list[i].version;
	return 0;
}

void
kwb_upstream_set_version(
    struct kwb_upstream *upstream, const char *model, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < upstream->status.models.count; i++)
		if (strcmp(upstream->status.models.list[i].name, model) == 0)
			upstream->status.models.list[i].version = version;
}

void
kwb_upstream_assign(
    struct kwb_upstream *upstream, const char *model, uint64_t version)
{
	if (!kwb_upstream_is_assigned(upstream, model) ||
	    upstream->expected_version != version)
		upstream->expected_since_ns = kwb_clock_now_ns();
	if (kwb_text_replace(&upstream->assigned_model, model) != 0) {
		kwb_log(KWB_LOG_ERROR, "upstream",
		    "event=not_assigned upstream=%s model=%s error=%s",
		    upstream->status.id, model, kwb_error_name(KWB_ERR_MEMORY));
		return;
	}
	upstream->expected_version = version;
}

bool
kwb_upstream_is_loading(
    const struct kwb_upstream *upstream, const char *model, uint64_t now_ns)
{
	return kwb_upstream_is_assigned(upstream, model) &&
	    upstream->expected_version >
	    kwb_upstream_version(upstream, model) &&
	    now_ns - upstream->expected_since_ns < KWB_WEIGHT_LOAD_MAX_NS;
}

void
kwb_upstream_record_success(struct kwb_upstream *upstream)
{
	if (upstream->failures >= KWB_SUSPECT_FAILURES)
		upstream_log(upstream, "sound");
	upstream->failures = 0;
	upstream->suspect_until_ns = 0;
	upstream->prober = NULL;
}

/*
 * A failed probe is a failure in a row; the other requests that an incident
 * ends are the same failure, seen again.
 */
void
kwb_upstream_record_failure(const struct kwb_registry *registry,
    struct kwb_upstream *upstream, uint64_t sent_ns, uint64_t now_ns)
{
	uint64_t wait_ns = KWB_SUSPECT_NS;
	uint32_t i;

	if (upstream->failures >= KWB_SUSPECT_FAILURES &&
	    sent_ns < upstream->failed_ns)
		return;
	upstream->failures++;
	upstream->failed_ns = now_ns;
	upstream->has_failed_in_panic = upstream->status.service != NULL &&
	    kwb_registry_is_in_panic(registry, upstream->status.service);
	for (i = KWB_SUSPECT_FAILURES; i < upstream->failures; i++)
		if (wait_ns < KWB_SUSPECT_MAX_NS)
			wait_ns *= 2;
	if (upstream->failures >= KWB_SUSPECT_FAILURES) {
		upstream->suspect_until_ns = now_ns + wait_ns;
		upstream_log(upstream, "suspect");
	}
}

void
kwb_upstream_record_pace(struct kwb_upstream *upstream, uint64_t taken_ns)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (taken_ns > KWB_PACE_MAX_NS || taken_ns < KWB_PACE_MIN_NS)
		return; /* a pause, or events that came together after it */
	if (upstream->pace_ns == 0 ||
	    now_ns - upstream->pace_updated_ns > KWB_PACE_TTL_NS)
		upstream->pace_ns = taken_ns;
	else
		upstream->pace_ns = (upstream->pace_ns * 7 + taken_ns) / 8;
	upstream->pace_updated_ns = now_ns;
	if (upstream->baseline_pace_ns == 0 ||
	    upstream->pace_ns < upstream->baseline_pace_ns)
		upstream->baseline_pace_ns = upstream->pace_ns;
	else
		upstream->baseline_pace_ns +=
		    (upstream->pace_ns - upstream->baseline_pace_ns) /
		    KWB_BASELINE_PACE_DIVISOR;
	if (upstream->pace_ns * 100 <=
	    upstream->baseline_pace_ns * KWB_SLOW_PERCENT)
		upstream->slow_since_ns = 0;
	else if (upstream->slow_since_ns == 0)
		upstream->slow_since_ns = now_ns;
}

void
kwb_upstream_record_report(
    struct kwb_upstream *upstream, const struct kwb_upstream_answer *answer)
{
	uint32_t percent = answer->slowness_percent;

	if (!answer->has_load)
		return;
	upstream->reported_load = answer->running + answer->waiting;
	upstream->in_flight_at_report = upstream->in_flight;
	upstream->reported_ns = kwb_clock_now_ns();
	upstream->slowness_percent = percent;
	if (percent != 0 &&
	    (upstream->usual_percent == 0 || percent < upstream->usual_percent))
		upstream->usual_percent = percent;
}

bool
kwb_upstream_reports_slowness(const struct kwb_upstream *upstream)
{
	return upstream->usual_percent != 0;
}

bool
kwb_registry_reports_slowness(
    const struct kwb_registry *registry, const char *service)
{
	uint32_t i;

	for (i = 0; i < registry->count; i++)
		if (kwb_upstream_reports_slowness(registry->upstreams[i]) &&
		    strcmp(registry->upstreams[i]->status.service, service) ==
			0)
			return true;
	return false;
}

/* The shortest times are those without a queue before the prompt. */
void
kwb_upstream_record_read(
    struct kwb_upstream *upstream, uint64_t tokens, uint64_t taken_ns)
{
	uint64_t *known = &upstream->read_ns_per_token;
	uint64_t sample;

	if (tokens < KWB_READ_SAMPLE_MIN_TOKENS ||
	    taken_ns <= upstream->baseline_pace_ns)
		return;
	/* The first event takes its own time, too. */
	sample = (taken_ns - upstream->baseline_pace_ns) / tokens;
	if (*known == 0 || sample < *known)
		*known = sample;
	else
		*known += (sample - *known) / KWB_READ_RISE_DIVISOR;
}

void
kwb_upstream_view_pace(const struct kwb_upstream *upstream, uint64_t service_ns,
    uint64_t now_ns, struct kwb_pace_view *view)
{
	memset(view, 0, sizeof(*view));
	view->usual_ns = upstream->baseline_pace_ns;
	view->recent_ns = upstream->pace_ns;
	view->recent_age_ns = now_ns - upstream->pace_updated_ns;
	if (upstream->slow_since_ns != 0)
		view->slow_ns =
		    upstream->pace_updated_ns - upstream->slow_since_ns;
	view->percent = upstream->slowness_percent;
	view->usual_percent = upstream->usual_percent;
	view->percent_age_ns = now_ns - upstream->reported_ns;
	view->service_ns = service_ns;
	view->load = kwb_upstream_load(upstream, now_ns);
	view->slots = upstream->status.slots;
	view->unread_tokens = upstream->unread_tokens;
	view->read_ns_per_token = upstream->read_ns_per_token;
}

/* The lower median is not moved by one slow upstream or one wrong value. */
uint64_t
kwb_registry_median_pace(
    const struct kwb_registry *registry, const char *service, uint64_t now_ns)
{
	uint64_t paces[KWB_PACE_MEDIAN_MAX];
	const struct kwb_upstream *upstream;
	uint32_t count = 0;
	uint32_t at;
	uint32_t i;

	for (i = 0; i < registry->count && count < KWB_PACE_MEDIAN_MAX; i++) {
		upstream = registry->upstreams[i];
		if (upstream->baseline_pace_ns == 0 ||
		    now_ns - upstream->pace_updated_ns >=
			KWB_BASELINE_PACE_TTL_NS ||
		    strcmp(upstream->status.service, service) != 0)
			continue;
		for (at = count++;
		     at > 0 && paces[at - 1] > upstream->baseline_pace_ns; at--)
			paces[at] = paces[at - 1];
		paces[at] = upstream->baseline_pace_ns;
	}
	return count > 0 ? paces[(count - 1) / 2] : 0;
}

bool
kwb_registry_has_version(const struct kwb_registry *registry,
    const char *service, const char *model, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];

		if (kwb_upstream_takes_requests(upstream) &&
		    strcmp(upstream->status.service, service) == 0 &&
		    kwb_upstream_version(upstream, model) == version)
			return true;
	}
	return false;
}
