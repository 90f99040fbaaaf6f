/*
 * Scaled services: what upstreams report of their load reaches the nodes with
 * their answers. Each node writes what it has seen to a row of its own; the
 * holder of the lease reads all rows and orders numbers of upstreams. It
 * decides only after a read that succeeded, so that a silent store leaves the
 * numbers as they are. Nothing runs where no service of the config is scaled.
 */
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define LOADS_TABLE "loads" /* key: node; "SENT_MS" and lines as below */
#define LOAD_LINE_FORMAT "%u %llu %s\n" /* LOAD AGE_MS UPSTREAM */
#define LOAD_LINE_MAX_BYTES 40		/* without the upstream */
#define DOMAINS_MAX KWB_SCALE_SUBJECTS_MAX

void
kwb_scaler_init(struct kwb_scaler *scaler, struct kwb_node *node,
    struct kwb_duty_caller *caller)
{
	memset(scaler, 0, sizeof(*scaler));
	scaler->store = node->store;
	scaler->settings = node->settings;
	scaler->codec = node->codec->duty;
	scaler->caller = caller;
	scaler->registry = &node->registry;
	scaler->config = (const struct kwb_node_config *const *)&node->config;
}

/* Ends what belongs to a tenure of the lease. */
static void
scaler_reset(struct kwb_scaler *scaler)
{
	uint32_t i;

	kwb_store_cancel(scaler->store, &scaler->read);
	if (scaler->sending != NULL)
		kwb_duty_caller_cancel(scaler->caller);
	scaler->sending = NULL;
	for (i = 0; i < scaler->subjects_count; i++) {
		free(scaler->subjects[i].service);
		free(scaler->subjects[i].failure_domain);
	}
	scaler->subjects_count = 0;
	scaler->next_key[0] = '\0';
	scaler->read_ns = 0;
}

void
kwb_scaler_finish(struct kwb_scaler *scaler)
{
	scaler_reset(scaler);
	kwb_store_cancel(scaler->store, &scaler->write);
}

/* The service of that name, if it is scaled; else NULL. */
static const struct kwb_service *
find_scaled(const struct kwb_scaler *scaler, const char *name)
{
	const struct kwb_service *service = *scaler->config != NULL
	    ? kwb_node_config_find_service(*scaler->config, name)
	    : NULL;

	return service != NULL && service->is_scaled ? service : NULL;
}

static bool
has_scaled_service(const struct kwb_scaler *scaler)
{
	const struct kwb_node_config *config = *scaler->config;
	uint32_t i;

	for (i = 0; config != NULL && i < config->services_count; i++)
		if (config->services[i].is_scaled)
			return true;
	return false;
}

/* ---- Writing the own row ------------------------------------------------- */

static uint64_t
write_period_ns(const struct kwb_scaler *scaler)
{
	uint64_t period_ns = scaler->fleet_nodes * KWB_USAGE_WRITE_NS_PER_NODE;

	return period_ns > KWB_SCALE_PERIOD_NS ? period_ns
					       : KWB_SCALE_PERIOD_NS;
}

static void
write_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	if (answer->error != 0)
		kwb_log(KWB_LOG_DEBUG, "scale", "event=not_written error=%s",
		    kwb_error_name(answer->error));
}

/* A row that is applied late does no harm: each line has its time. */
static void
scaler_write(struct kwb_scaler *scaler, uint64_t now_ns, uint64_t store_ms)
{
	static struct kwb_tx tx;
	struct kwb_buf text;
	uint32_t lines = 0;
	uint32_t i;
	int code;

	kwb_buf_init(&text);
	code = kwb_buf_printf(&text, "%llu\n", (unsigned long long)store_ms);
	for (i = 0; i < scaler->registry->count && code == 0; i++) {
		const struct kwb_upstream *upstream =
		    scaler->registry->upstreams[i];

		if (upstream->reported_ns == 0 ||
		    now_ns - upstream->reported_ns > KWB_SCALE_REPORT_NS ||
		    text.used_bytes + strlen(upstream->status.id) +
			    LOAD_LINE_MAX_BYTES >
			KWB_STORE_VALUE_MAX_BYTES ||
		    find_scaled(scaler, upstream->status.service) == NULL)
			continue;
		lines++;
		code = kwb_buf_printf(&text, LOAD_LINE_FORMAT,
		    upstream->reported_load,
		    (unsigned long long)((now_ns - upstream->reported_ns) /
			KWB_MS_NS),
		    upstream->status.id);
	}
	memset(&tx, 0, sizeof(tx));
	kwb_tx_put(&tx, LOADS_TABLE, KWB_DUTY_PARTITION, scaler->settings->node,
	    kwb_buf_text(&text), text.used_bytes);
	scaler->write.on_done = write_on_answer;
	scaler->write.context = scaler;
	if (code == 0 && lines > 0)
		code = scaler->store->ops->transact(
		    scaler->store, &tx, &scaler->write);
	if (code != 0)
		kwb_log(KWB_LOG_WARN, "scale", "event=not_written error=%s",
		    kwb_error_name(code));
	kwb_buf_finish(&text);
}

/* ---- Deciding ------------------------------------------------------------ */

/* Takes over the lines of a node's row that are newer than what is known. */
static void
take_row(struct kwb_scaler *scaler, const struct kwb_row *row)
{
	char id[KWB_STORE_NAME_BYTES];
	const char *line = strchr(row->value, '\n');
	uint64_t sent_ms = strtoull(row->value, NULL, 10);
	unsigned long long age_ms;
	unsigned load;

	for (; line != NULL && line[1] != '\0'; line = strchr(line + 1, '\n')) {
		struct kwb_upstream *upstream;

		if (sscanf(line + 1, "%u %llu %200s", &load, &age_ms, id) != 3)
			return;
		upstream = kwb_registry_find(scaler->registry, id);
		if (upstream == NULL || sent_ms - age_ms <= upstream->shared_ms)
			continue;
		upstream->shared_load = load;
		upstream->shared_ms = sent_ms - age_ms;
	}
}

/* The subject, added if it is new; NULL for too many, or without memory. */
static struct kwb_scale_subject *
find_subject(
    struct kwb_scaler *scaler, const char *service, const char *failure_domain)
{
	struct kwb_scale_subject *subject = scaler->subjects;
	uint32_t i;

	for (i = 0; i < scaler->subjects_count; i++, subject++)
		if (strcmp(subject->service, service) == 0 &&
		    strcmp(subject->failure_domain, failure_domain) == 0)
			return subject;
	if (i == KWB_SCALE_SUBJECTS_MAX)
		return NULL;
	memset(subject, 0, sizeof(*subject));
	subject->service = strdup(service);
	subject->failure_domain = strdup(failure_domain);
	if (subject->service == NULL || subject->failure_domain == NULL) {
		free(subject->service);
		free(subject->failure_domain);
		return NULL;
	}
	scaler->subjects_count++;
	return subject;
}

/* Adds an upstream's load to that of its subject. */
static void
add_load(struct kwb_scaler *scaler, const struct kwb_upstream *upstream,
    struct kwb_scale_load *loads)
{
	uint64_t oldest_ns = KWB_SCALE_REPORT_NS + write_period_ns(scaler);
	uint64_t now_ms = kwb_store_now_ms(scaler->store);
	struct kwb_scale_subject *subject;
	struct kwb_scale_load *load;

	if (!kwb_upstream_takes_requests(upstream) ||
	    find_scaled(scaler, upstream->status.service) == NULL)
		return;
	subject = find_subject(
	    scaler, upstream->status.service, upstream->status.failure_domain);
	if (subject == NULL)
		return;
	load = &loads[subject - scaler->subjects];
	load->upstreams++;
	if (upstream->shared_ms == 0 ||
	    now_ms > upstream->shared_ms + oldest_ns / KWB_MS_NS)
		return;
	load->known++;
	load->requests += upstream->shared_load;
	load->slots += upstream->status.slots;
}

/* Decides on all failure domains of a service. */
static void
decide_service(struct kwb_scaler *scaler, const struct kwb_service *service,
    const struct kwb_scale_load *loads)
{
	struct kwb_scale_load of_service[DOMAINS_MAX];
	struct kwb_scale_subject *subjects[DOMAINS_MAX];
	struct kwb_scale_input input = {.min = service->scale_min,
	    .max = service->scale_max,
	    .load = of_service};
	uint32_t i;

	for (i = 0; i < scaler->subjects_count; i++) {
		if (strcmp(scaler->subjects[i].service, service->name) != 0)
			continue;
		subjects[input.domains] = &scaler->subjects[i];
		of_service[input.domains++] = loads[i];
	}
	for (i = 0; i < input.domains; i++) {
		struct kwb_scale_subject *subject = subjects[i];

		input.domain = i;
		kwb_scale_decide(&subject->state, kwb_scale_need(&input),
		    of_service[i].upstreams, service->boot_ms,
		    kwb_clock_now_ns());
		/* The number is there, or an order had no effect. */
		if (of_service[i].upstreams == subject->state.target)
			subject->ordered = subject->state.target;
		else if (kwb_clock_now_ns() >=
		    subject->repeat_ns + service->boot_ms * KWB_MS_NS)
			subject->ordered = 0;
	}
}

static void
scaler_decide(struct kwb_scaler *scaler)
{
	struct kwb_scale_load loads[KWB_SCALE_SUBJECTS_MAX] = {0};
	const struct kwb_node_config *config = *scaler->config;
	uint32_t i;

	for (i = 0; i < scaler->registry->count; i++)
		add_load(scaler, scaler->registry->upstreams[i], loads);
	for (i = 0; config != NULL && i < config->services_count; i++)
		if (config->services[i].is_scaled)
			decide_service(scaler, &config->services[i], loads);
}

/* ---- Orders -------------------------------------------------------------- */

static void
order_on_done(void *context, enum kwb_duty_outcome outcome)
{
	struct kwb_scaler *scaler = context;
	struct kwb_scale_subject *subject = scaler->sending;
	uint64_t now_ns = kwb_clock_now_ns();

	scaler->sending = NULL;
	kwb_log(KWB_LOG_INFO, "scale",
	    "event=%s service=%s failure_domain=%s upstreams=%u holder=%s "
	    "fence=%llu",
	    outcome == KWB_DUTY_DONE ? "ordered" : "not_ordered",
	    subject->service, subject->failure_domain, subject->sent,
	    scaler->settings->node, (unsigned long long)scaler->fence);
	if (outcome != KWB_DUTY_DONE) {
		subject->failures++;
		subject->retry_ns =
		    now_ns + kwb_duty_backoff_ns(subject->failures);
		return;
	}
	kwb_metric_add(KWB_METRIC_SCALE_ORDERS, 1);
	subject->failures = 0;
	subject->ordered = subject->sent;
	subject->repeat_ns = now_ns + KWB_SCALE_REPEAT_NS;
}

/* The first subject whose number is to be ordered, or NULL. */
static struct kwb_scale_subject *
find_due(struct kwb_scaler *scaler)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	for (i = 0; i < scaler->subjects_count; i++)
		if (scaler->subjects[i].state.target !=
			scaler->subjects[i].ordered &&
		    now_ns >= scaler->subjects[i].retry_ns)
			return &scaler->subjects[i];
	return NULL;
}

static void
scaler_send(struct kwb_scaler *scaler)
{
	struct kwb_scale_subject *subject = find_due(scaler);
	struct kwb_scale_order order;
	struct kwb_duty_stamp stamp;
	struct evbuffer *out;
	int code = KWB_ERR_MEMORY;

	if (subject == NULL || scaler->sending != NULL ||
	    !kwb_duty_caller_is_free(scaler->caller) ||
	    !kwb_duty_caller_stamp(scaler->caller, &stamp) ||
	    stamp.fence != scaler->fence)
		return;
	order = (struct kwb_scale_order){.service = subject->service,
	    .failure_domain = subject->failure_domain,
	    .upstreams = subject->state.target};
	out = evbuffer_new();
	if (out != NULL)
		code = scaler->codec->write_scale(&stamp, &order, out);
	if (code == 0)
		code = kwb_duty_caller_start(
		    scaler->caller, out, order_on_done, scaler);
	if (code == 0) {
		scaler->sending = subject;
		subject->sent = order.upstreams;
	} else {
		kwb_log(KWB_LOG_ERROR, "scale",
		    "event=not_sent service=%s error=%s", subject->service,
		    kwb_error_name(code));
	}
	if (out != NULL)
		evbuffer_free(out);
}

/* ---- Reading ------------------------------------------------------------- */

static void scaler_read(struct kwb_scaler *scaler);

static void
read_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_scaler *scaler = call->context;
	uint32_t i;

	for (i = 0; i < answer->rows_count; i++)
		take_row(scaler, &answer->rows[i]);
	if (answer->error == 0 && answer->more && answer->rows_count > 0) {
		snprintf(scaler->next_key, sizeof(scaler->next_key), "%s\x01",
		    answer->rows[answer->rows_count - 1].key);
		scaler_read(scaler);
		return;
	}
	scaler->next_key[0] = '\0';
	if (answer->error != 0)
		return;
	scaler_decide(scaler);
	scaler_send(scaler);
}

static void
scaler_read(struct kwb_scaler *scaler)
{
	struct kwb_range range = {.table = LOADS_TABLE,
	    .part = KWB_DUTY_PARTITION,
	    .from = scaler->next_key[0] != '\0' ? scaler->next_key : NULL};

	scaler->read.on_done = read_on_answer;
	scaler->read.context = scaler;
	if (scaler->store->ops->range(scaler->store, &range, &scaler->read) !=
	    0)
		scaler->next_key[0] = '\0';
}

void
kwb_scaler_check(struct kwb_scaler *scaler)
{
	uint64_t fence = kwb_store_lease_fence(scaler->caller->lease);
	uint64_t store_ms = kwb_store_now_ms(scaler->store);
	uint64_t now_ns = kwb_clock_now_ns();

	if (fence != scaler->fence)
		scaler_reset(scaler);
	scaler->fence = fence;
	if (store_ms == 0 || !has_scaled_service(scaler))
		return;
	if (scaler->write.pending == NULL && now_ns >= scaler->write_ns) {
		scaler->write_ns = now_ns + write_period_ns(scaler);
		scaler_write(scaler, now_ns, store_ms);
	}
	if (fence == 0)
		return;
	scaler_send(scaler);
	if (scaler->read.pending == NULL && now_ns >= scaler->read_ns) {
		scaler->read_ns = now_ns + KWB_SCALE_PERIOD_NS;
		scaler_read(scaler);
	}
}
