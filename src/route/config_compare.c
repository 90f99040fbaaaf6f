/*
 * What a configuration changes against the one in force. Routes, services and
 * workspaces are the same if their names are.
 */
#include <stddef.h>
#include <string.h>

#include "kwb_config_check.h"

/* A number of a route, a service or a configuration. */
struct number_field {
	enum kwb_config_field field;
	size_t offset; /* of a uint32_t */
	const char *unit;
};

static const struct number_field route_numbers[] = {
    {KWB_FIELD_TIMEOUT, offsetof(struct kwb_route_entry, timeout_ms), " ms"},
    {KWB_FIELD_TARGET_LATENCY,
	offsetof(struct kwb_route_entry, target_latency_ms), " ms"},
    {KWB_FIELD_RUN_DEADLINE, offsetof(struct kwb_route_entry, run_deadline_ms),
	" ms"},
    {KWB_FIELD_ITEM_TTL, offsetof(struct kwb_route_entry, item_ttl_ms), " ms"},
    {KWB_FIELD_MAX_ATTEMPTS, offsetof(struct kwb_route_entry, max_attempts),
	""},
    {KWB_FIELD_PRIORITY, offsetof(struct kwb_route_entry, priority), ""},
};

static const struct number_field service_numbers[] = {
    {KWB_FIELD_MAX_CONNS, offsetof(struct kwb_service, max_conns), ""},
    {KWB_FIELD_SCALE, offsetof(struct kwb_service, scale_min), " at least"},
    {KWB_FIELD_SCALE, offsetof(struct kwb_service, scale_max), " at most"},
};

static const struct number_field config_numbers[] = {
    {KWB_FIELD_MAX_HEADER, offsetof(struct kwb_node_config, max_header_bytes),
	" bytes"},
    {KWB_FIELD_HEADER_TIMEOUT,
	offsetof(struct kwb_node_config, header_timeout_ms), " ms"},
    {KWB_FIELD_IDLE_TIMEOUT, offsetof(struct kwb_node_config, idle_timeout_ms),
	" ms"},
};

/* Reports the numbers that differ between two objects of a kind. */
static int
compare_numbers(const void *from, const void *to,
    const struct number_field *fields, size_t fields_count,
    enum kwb_config_object object, uint32_t index,
    struct kwb_findings *findings)
{
	int code = 0;
	size_t i;

	for (i = 0; code == 0 && i < fields_count; i++) {
		uint32_t before =
		    *(const uint32_t *)((const char *)from + fields[i].offset);
		uint32_t after =
		    *(const uint32_t *)((const char *)to + fields[i].offset);

		if (before != after)
			code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
			    object, index, fields[i].field, "%u%s, was %u%s",
			    after, fields[i].unit, before, fields[i].unit);
	}
	return code;
}

#define COMPARE_NUMBERS(from, to, fields, object, index, findings)             \
	compare_numbers((from), (to), (fields),                                \
	    sizeof(fields) / sizeof((fields)[0]), (object), (index),           \
	    (findings))

/* ---- Routes -------------------------------------------------------------- */

static bool
are_splits_equal(
    const struct kwb_route_entry *a, const struct kwb_route_entry *b)
{
	uint32_t i;

	if (a->splits_count != b->splits_count)
		return false;
	for (i = 0; i < a->splits_count; i++)
		if (a->splits[i].weight != b->splits[i].weight ||
		    strcmp(a->splits[i].service, b->splits[i].service) != 0)
			return false;
	return true;
}

static int
compare_route(const struct kwb_route_entry *from,
    const struct kwb_route_entry *to, uint32_t index,
    struct kwb_findings *findings)
{
	int code = 0;

	if (strcmp(from->host, to->host) != 0 ||
	    strcmp(from->prefix, to->prefix) != 0)
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_PREFIX,
		    "moves from %s%s; requests there get 404 or another route",
		    from->host, from->prefix);
	if (code == 0 && !are_splits_equal(from, to))
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_SPLIT,
		    "requests are shared out differently; %s was first",
		    from->splits[0].service);
	if (code == 0 && from->kind != to->kind)
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_KIND,
		    "another kind: what may be repeated changes");
	if (code == 0 && from->is_public != to->is_public)
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_ROUTE, index, KWB_FIELD_PUBLIC,
		    to->is_public ? "needs no key any more"
				  : "needs a key from now on");
	if (code == 0)
		code = COMPARE_NUMBERS(
		    from, to, route_numbers, KWB_OBJECT_ROUTE, index, findings);
	return code;
}

static const struct kwb_route_entry *
find_route(
    const struct kwb_node_config *config, const char *name, uint32_t *index)
{
	for (*index = 0; *index < config->routes_count; (*index)++)
		if (strcmp(config->routes[*index].name, name) == 0)
			return &config->routes[*index];
	return NULL;
}

static int
compare_routes(const struct kwb_node_config *current,
    const struct kwb_node_config *next, struct kwb_findings *findings)
{
	const struct kwb_route_entry *route;
	const struct kwb_route_entry *other;
	uint32_t found;
	int code = 0;
	uint32_t i;

	for (i = 0; code == 0 && i < next->routes_count; i++) {
		route = &next->routes[i];
		other = find_route(current, route->name, &found);
		code = other != NULL
		    ? compare_route(other, route, i, findings)
		    : kwb_findings_add(findings, KWB_FINDING_CHANGE,
			  KWB_OBJECT_ROUTE, i, KWB_FIELD_NONE,
			  "%s is new: serves %s%s", route->name, route->host,
			  route->prefix);
	}
	for (i = 0; code == 0 && i < current->routes_count; i++) {
		route = &current->routes[i];
		if (find_route(next, route->name, &found) == NULL)
			code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
			    KWB_OBJECT_ROUTE, i, KWB_FIELD_REMOVED,
			    "%s is removed: requests for %s%s get 404 or "
			    "another route",
			    route->name, route->host, route->prefix);
	}
	return code;
}

/* ---- Services and workspaces --------------------------------------------- */

static int
compare_services(const struct kwb_node_config *current,
    const struct kwb_node_config *next, struct kwb_findings *findings)
{
	const struct kwb_service *service;
	const struct kwb_service *other;
	int code = 0;
	uint32_t i;

	for (i = 0; code == 0 && i < next->services_count; i++) {
		service = &next->services[i];
		other = kwb_node_config_find_service(current, service->name);
		code = other != NULL
		    ? COMPARE_NUMBERS(other, service, service_numbers,
			  KWB_OBJECT_SERVICE, i, findings)
		    : kwb_findings_add(findings, KWB_FINDING_CHANGE,
			  KWB_OBJECT_SERVICE, i, KWB_FIELD_NONE, "%s is new",
			  service->name);
	}
	for (i = 0; code == 0 && i < current->services_count; i++) {
		service = &current->services[i];
		if (kwb_node_config_find_service(next, service->name) == NULL)
			code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
			    KWB_OBJECT_SERVICE, i, KWB_FIELD_REMOVED,
			    "%s is removed", service->name);
	}
	return code;
}

static int
compare_workspace(const struct kwb_workspace *from,
    const struct kwb_workspace *to, uint32_t index,
    struct kwb_findings *findings)
{
	if (from->has_priority && !to->has_priority)
		return kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_WORKSPACE, index, KWB_FIELD_PRIORITY,
		    "that of each route, was %u", from->priority);
	if (to->has_priority && !from->has_priority)
		return kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_WORKSPACE, index, KWB_FIELD_PRIORITY,
		    "%u, was that of each route", to->priority);
	if (from->priority != to->priority)
		return kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_WORKSPACE, index, KWB_FIELD_PRIORITY,
		    "%u, was %u", to->priority, from->priority);
	return 0;
}

static int
compare_workspaces(const struct kwb_node_config *current,
    const struct kwb_node_config *next, struct kwb_findings *findings)
{
	const struct kwb_workspace *workspace;
	const struct kwb_workspace *other;
	int code = 0;
	uint32_t i;

	if (next->has_workspaces != current->has_workspaces)
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_KEYS,
		    next->has_workspaces ? "requests need a key from now on"
					 : "requests need no key any more");
	for (i = 0; code == 0 && i < next->workspaces_count; i++) {
		workspace = &next->workspaces[i];
		other =
		    kwb_node_config_find_workspace(current, workspace->name);
		code = other != NULL
		    ? compare_workspace(other, workspace, i, findings)
		    : kwb_findings_add(findings, KWB_FINDING_CHANGE,
			  KWB_OBJECT_WORKSPACE, i, KWB_FIELD_NONE, "%s is new",
			  workspace->name);
	}
	for (i = 0; code == 0 && i < current->workspaces_count; i++) {
		workspace = &current->workspaces[i];
		if (kwb_node_config_find_workspace(next, workspace->name) ==
		    NULL)
			code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
			    KWB_OBJECT_WORKSPACE, i, KWB_FIELD_REMOVED,
			    "%s is removed: its keys stop", workspace->name);
	}
	return code;
}

int
kwb_config_compare(const struct kwb_node_config *current,
    const struct kwb_node_config *next, struct kwb_findings *findings)
{
	int code = 0;

	if (next->version <= current->version)
		code = kwb_findings_add(findings, KWB_FINDING_ERROR,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_VERSION,
		    "%llu is not above %llu, which is in force; nodes would "
		    "not take it",
		    (unsigned long long)next->version,
		    (unsigned long long)current->version);
	if (code == 0)
		code = compare_routes(current, next, findings);
	if (code == 0)
		code = compare_services(current, next, findings);
	if (code == 0)
		code = compare_workspaces(current, next, findings);
	if (code == 0)
		code = COMPARE_NUMBERS(current, next, config_numbers,
		    KWB_OBJECT_CONFIG, 0, findings);
	if (code == 0 && current->max_body_bytes != next->max_body_bytes)
		code = kwb_findings_add(findings, KWB_FINDING_CHANGE,
		    KWB_OBJECT_CONFIG, 0, KWB_FIELD_MAX_BODY,
		    "%llu bytes, was %llu bytes",
		    (unsigned long long)next->max_body_bytes,
		    (unsigned long long)current->max_body_bytes);
	return code;
}
