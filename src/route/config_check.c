/*
 * Checks of a configuration: what nodes would refuse, what can never match a
 * request, and limits that contradict each other.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kwb_config_check.h"

#define FINDINGS_INITIAL_CAPACITY 16

/* Part of a VM's memory that one body may take, as a divisor. */
#define BODY_MEMORY_DIVISOR 2

void
kwb_findings_init(struct kwb_findings *findings)
{
	memset(findings, 0, sizeof(*findings));
}

void
kwb_findings_finish(struct kwb_findings *findings)
{
	free(findings->list);
	memset(findings, 0, sizeof(*findings));
}

int
kwb_findings_add(struct kwb_findings *findings, enum kwb_finding_level level,
    enum kwb_config_object object, uint32_t index, enum kwb_config_field field,
    const char *format, ...)
{
	struct kwb_finding *finding;
	va_list args;

	if (findings->count == findings->capacity) {
		uint32_t capacity = findings->capacity
		    ? 2 * findings->capacity
		    : FINDINGS_INITIAL_CAPACITY;
		struct kwb_finding *list =
		    realloc(findings->list, capacity * sizeof(*list));

		if (list == NULL)
			return KWB_ERR_MEMORY;
		findings->list = list;
		findings->capacity = capacity;
	}
	finding = &findings->list[findings->count++];
	finding->level = level;
	finding->object = object;
	finding->index = index;
	finding->field = field;
	va_start(args, format);
	vsnprintf(finding->text, sizeof(finding->text), format, args);
	va_end(args);
	findings->errors_count += level == KWB_FINDING_ERROR;
	findings->warnings_count += level == KWB_FINDING_WARNING;
	return 0;
}

/* ---- Names and references ------------------------------------------------ */

/* Reports an object whose name an earlier one has. */
static int
check_name(struct kwb_index *names, const char *name,
    enum kwb_config_object object, uint32_t index,
    struct kwb_findings *findings)
{
	if (kwb_index_get(names, name) != NULL)
		return kwb_findings_add(findings, KWB_FINDING_ERROR, object,
		    index, KWB_FIELD_NAME, "the name %s is used twice", name);
	return kwb_index_put(names, name, (void *)name);
}

static int
check_names(const struct kwb_node_config *config, struct kwb_findings *findings)
{
	struct kwb_index routes;
	struct kwb_index services;
	struct kwb_index workspaces;
	int code = 0;
	uint32_t i;

	kwb_index_init(&routes);
	kwb_index_init(&services);
	kwb_index_init(&workspaces);
	for (i = 0; code == 0 && i < config->routes_count; i++)
		code = check_name(&routes, config->routes[i].name,
		    KWB_OBJECT_ROUTE, i, findings);
	for (i = 0; code == 0 && i < config->services_count; i++)
		code = check_name(&services, config->services[i].name,
		    KWB_OBJECT_SERVICE, i, findings);
	for (i = 0; code == 0 && i < config->workspaces_count; i++)
		code = check_name(&workspaces, config->workspaces[i].name,
		    KWB_OBJECT_WORKSPACE, i, findings);
	kwb_index_finish(&routes);
	kwb_index_finish(&services);
	kwb_index_finish(&workspaces);
	return code;
}

static int
check_splits(const struct kwb_node_config *config, uint32_t index,
    struct kwb_findings *findings)
{
	const struct kwb_route_entry *route = &config->routes[index];
	uint64_t sum = 0;
	int code = 0;
	uint32_t i;

	for (i = 0; code == 0 && i < route->splits_count; i++) {
		sum += route->splits[i].weight;
		if (kwb_node_config_find_service(
			config, route->splits[i].service) == NULL)
			code = kwb_findings_add(findings, KWB_FINDING_ERROR,
			    KWB_OBJECT_ROUTE, index, KWB_FIELD_SPLIT,
			    "there is no service %s", route->splits[i].service);
		else if (route->splits[i].weight == 0)
			code = kwb_findings_add(findings, KWB_FINDING_WARNING,
			    KWB_OBJECT_ROUTE, index, KWB_FIELD_SPLIT,
			    "%s has weight 0 and gets no request",
			    route->splits[i].service);
	}
	if (code == 0 && sum == 0)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_SPLIT,
		    "the weights add up to 0; at least one must be above it");
	return code;
}

/* ---- Entries that never match -------------------------------------------- */

static bool
is_whole_path(const char *prefix)
{
	size_t bytes = strlen(prefix);

	return bytes > 0 && prefix[0] == '/' && prefix[bytes - 1] == '/';
}

/* An earlier route with the same host and prefix, or NULL. */
static const struct kwb_route_entry *
find_same_place(const struct kwb_node_config *config, uint32_t index)
{
	const struct kwb_route_entry *route = &config->routes[index];
	uint32_t i;

	for (i = 0; i < index; i++)
		if (strcasecmp(config->routes[i].host, route->host) == 0 &&
		    strcmp(config->routes[i].prefix, route->prefix) == 0)
			return &config->routes[i];
	return NULL;
}

static int
check_match(const struct kwb_node_config *config, uint32_t index,
    struct kwb_findings *findings)
{
	const struct kwb_route_entry *route = &config->routes[index];
	const struct kwb_route_entry *other = find_same_place(config, index);

	if (!is_whole_path(route->prefix))
		return kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_PREFIX,
		    "%s does not begin and end with a slash", route->prefix);
	if (strchr(route->host, ':') != NULL)
		return kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_HOST,
		    "%s has a port and matches no request", route->host);
	if (other != NULL)
		return kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_PREFIX,
		    "%s has the same host and prefix and takes all requests",
		    other->name);
	return 0;
}

static bool
is_service_named(const struct kwb_node_config *config, const char *service)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < config->routes_count; i++)
		for (k = 0; k < config->routes[i].splits_count; k++)
			if (strcmp(config->routes[i].splits[k].service,
				service) == 0)
				return true;
	return false;
}

/* ---- Limits that contradict each other ----------------------------------- */

static int
check_times(const struct kwb_node_config *config, uint32_t index,
    struct kwb_findings *findings)
{
	const struct kwb_route_entry *route = &config->routes[index];
	int code = 0;

	if (route->max_attempts == 0)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_MAX_ATTEMPTS,
		    "0 lets no request run; it must be 1 or more");
	if (code == 0 && route->timeout_ms != 0 &&
	    route->target_latency_ms > route->timeout_ms)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_TARGET_LATENCY,
		    "%u ms is over the timeout of %u ms",
		    route->target_latency_ms, route->timeout_ms);
	else if (code == 0 && route->kind != KWB_ROUTE_ROLLOUT &&
	    route->timeout_ms != 0 && route->max_attempts > 1 &&
	    route->target_latency_ms * 2ull > route->timeout_ms)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_TIMEOUT,
		    "%u ms leaves no time for a second of %u attempts at "
		    "%u ms each",
		    route->timeout_ms, route->max_attempts,
		    route->target_latency_ms);
	if (code == 0 && route->kind == KWB_ROUTE_ROLLOUT &&
	    route->item_ttl_ms != 0 &&
	    route->run_deadline_ms > route->item_ttl_ms)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_RUN_DEADLINE,
		    "%u ms is over the item's time to live of %u ms",
		    route->run_deadline_ms, route->item_ttl_ms);
	return code;
}

static int
check_service(const struct kwb_node_config *config, uint32_t index,
    struct kwb_findings *findings)
{
	const struct kwb_service *service = &config->services[index];
	int code = 0;

	if (!is_service_named(config, service->name))
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_SERVICE, index, KWB_FIELD_NAME,
		    "no route names %s; it gets no request", service->name);
	if (code != 0 || !service->is_scaled)
		return code;
	if (service->scale_min > service->scale_max)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_SERVICE, index, KWB_FIELD_SCALE,
		    "the smallest number %u is over the largest, %u",
		    service->scale_min, service->scale_max);
	else if (service->scale_min == 0)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_SERVICE, index, KWB_FIELD_SCALE,
		    "a failure domain may be left without an upstream for "
		    "%u ms",
		    service->boot_ms);
	return code;
}

static int
check_limits(const struct kwb_node_config *config,
    const struct kwb_config_surroundings *surroundings,
    struct kwb_findings *findings)
{
	int code = 0;

	if (config->idle_timeout_ms < config->header_timeout_ms)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_IDLE_TIMEOUT,
		    "%u ms is under the header timeout of %u ms",
		    config->idle_timeout_ms, config->header_timeout_ms);
	if (code == 0 && config->max_body_bytes < config->max_header_bytes)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_MAX_BODY,
		    "%llu bytes are under the limit of a head, %u",
		    (unsigned long long)config->max_body_bytes,
		    config->max_header_bytes);
	if (code == 0 && surroundings->memory_bytes != 0 &&
	    config->max_body_bytes >
		surroundings->memory_bytes / BODY_MEMORY_DIVISOR)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_MAX_BODY,
		    "%llu bytes are over half of the smallest VM's memory, "
		    "%llu bytes",
		    (unsigned long long)config->max_body_bytes,
		    (unsigned long long)surroundings->memory_bytes);
	return code;
}

/* How many keys admit a workspace; sets *shared to those of others, too. */
static uint32_t
count_keys(
    const struct kwb_node_config *config, uint32_t workspace, uint32_t *shared)
{
	uint32_t count = 0;
	uint32_t i;

	*shared = 0;
	for (i = 0; i < config->keys.capacity; i++) {
		const struct kwb_access_key *key = &config->keys.slots[i];

		if (!key->is_used || key->workspace != workspace)
			continue;
		*shared += key->is_ambiguous;
		count += !key->is_ambiguous;
	}
	return count;
}

static int
check_workspace(const struct kwb_node_config *config, uint32_t index,
    struct kwb_findings *findings)
{
	const struct kwb_workspace *workspace = &config->workspaces[index];
	uint32_t shared;
	uint32_t count = count_keys(config, index, &shared);
	int code = 0;

	if (shared > 0)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_WORKSPACE, index, KWB_FIELD_KEYS,
		    "%u of the keys of %s are another workspace's, too; they "
		    "admit nobody",
		    shared, workspace->name);
	if (code == 0 && count == 0)
		code = kwb_findings_add(findings, KWB_FINDING_WARNING,
		    KWB_OBJECT_WORKSPACE, index, KWB_FIELD_KEYS,
		    "no key admits %s, except on public routes",
		    workspace->name);
	return code;
}

int
kwb_config_check(const struct kwb_node_config *config,
    const struct kwb_config_surroundings *surroundings,
    struct kwb_findings *findings)
{
	int code = 0;
	uint32_t i;

	if (config->version == 0)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_VERSION,
		    "0 is no version; nodes take one above that in force");
	if (code == 0)
		code = check_names(config, findings);
	for (i = 0; code == 0 && i < config->routes_count; i++) {
		code = check_match(config, i, findings);
		if (code == 0)
			code = check_splits(config, i, findings);
		if (code == 0)
			code = check_times(config, i, findings);
	}
	for (i = 0; code == 0 && i < config->services_count; i++)
		code = check_service(config, i, findings);
	for (i = 0; code == 0 && i < config->workspaces_count; i++)
		code = check_workspace(config, i, findings);
	if (code == 0)
		code = check_limits(config, surroundings, findings);
	return code;
}
