/*
 * Lookup of routes and services in a node's configuration.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kwb_node.h"

void
kwb_route_entry_finish(struct kwb_route_entry *route)
{
	uint32_t i;

	for (i = 0; i < route->splits_count; i++)
		free(route->splits[i].service);
	free(route->splits);
	free(route->name);
	free(route->host);
	free(route->prefix);
	memset(route, 0, sizeof(*route));
}

static void
service_finish(struct kwb_service *service)
{
	uint32_t i;

	for (i = 0; i < service->models_count; i++)
		free(service->models[i]);
	free(service->models);
	free(service->name);
}

void
kwb_node_config_finish(struct kwb_node_config *config)
{
	uint32_t i;

	for (i = 0; i < config->routes_count; i++)
		kwb_route_entry_finish(&config->routes[i]);
	for (i = 0; i < config->services_count; i++)
		service_finish(&config->services[i]);
	for (i = 0; i < config->workspaces_count; i++)
		free(config->workspaces[i].name);
	free(config->routes);
	free(config->services);
	free(config->workspaces);
	kwb_access_keys_finish(&config->keys);
	memset(config, 0, sizeof(*config));
}

/* Compares host names; a port in the Host header is ignored. */
static bool
is_same_host(const char *name, const char *host_header)
{
	size_t bytes = strcspn(host_header, ":");

	return strlen(name) == bytes &&
	    strncasecmp(name, host_header, bytes) == 0;
}

const struct kwb_route_entry *
kwb_node_config_find_route(
    const struct kwb_node_config *config, const char *host, const char *target)
{
	const struct kwb_route_entry *best = NULL;
	const struct kwb_route_entry *route;
	size_t best_bytes = 0;
	size_t bytes;
	uint32_t i;

	for (i = 0; i < config->routes_count; i++) {
		route = &config->routes[i];
		bytes = strlen(route->prefix);
		if (bytes <= best_bytes ||
		    strncmp(route->prefix, target, bytes) != 0 ||
		    !is_same_host(route->host, host))
			continue;
		best = route;
		best_bytes = bytes;
	}
	return best;
}

const struct kwb_service *
kwb_node_config_find_service(
    const struct kwb_node_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->services_count; i++)
		if (strcmp(config->services[i].name, name) == 0)
			return &config->services[i];
	return NULL;
}

const struct kwb_workspace *
kwb_node_config_find_workspace(
    const struct kwb_node_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->workspaces_count; i++)
		if (strcmp(config->workspaces[i].name, name) == 0)
			return &config->workspaces[i];
	return NULL;
}

bool
kwb_splits_contain(uint64_t splits, uint32_t index)
{
	return index >= KWB_SPLIT_BITS || (splits >> index & 1) != 0;
}

static uint64_t
sum_weights(const struct kwb_route_entry *route, uint64_t splits)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < route->splits_count; i++)
		if (kwb_splits_contain(splits, i))
			sum += route->splits[i].weight;
	return sum;
}

const char *
kwb_route_entry_pick_among(
    const struct kwb_route_entry *route, uint64_t splits, uint64_t random)
{
	uint64_t sum = sum_weights(route, splits);
	uint32_t i;

	if (sum == 0) {
		splits = UINT64_MAX;
		sum = sum_weights(route, splits);
	}
	if (sum == 0)
		return route->splits_count > 0 ? route->splits[0].service : "";
	random %= sum;
	for (i = 0; i < route->splits_count; i++) {
		if (!kwb_splits_contain(splits, i))
			continue;
		if (random < route->splits[i].weight)
			break;
		random -= route->splits[i].weight;
	}
	return route->splits[i].service;
}

const char *
kwb_route_entry_pick_service(
    const struct kwb_route_entry *route, uint64_t random)
{
	return kwb_route_entry_pick_among(route, UINT64_MAX, random);
}
