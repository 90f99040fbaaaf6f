/*
 * Testbed: nodes and fakes on one event loop, which runs for a given time.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define KNOWN_FAILURES_FILE "KNOWN-RED.txt"
#define PORT_MIN 12000
#define PORT_COUNT 8000

void
testbed_init(struct testbed *testbed)
{
	memset(testbed, 0, sizeof(*testbed));
	testbed->base = event_base_new();
	if (kwb_client_init(&testbed->client, testbed->base) != 0 ||
	    testbed_store_open(&testbed->store, testbed->base) != 0 ||
	    testbed_duty_open(&testbed->duty, testbed->base) != 0)
		abort();
}

void
testbed_finish(struct testbed *testbed)
{
	unsigned i;

	for (i = 0; i < testbed->nodes_count; i++)
		if (testbed->nodes[i].is_open)
			testbed_node_kill(&testbed->nodes[i]);
	for (i = 0; i < testbed->nodes_count; i++)
		if (testbed->nodes[i].has_store_proxy)
			proxy_close(&testbed->nodes[i].store_proxy);
	for (i = 0; i < testbed->servers_count; i++)
		if (testbed->servers[i].has_path)
			proxy_close(&testbed->servers[i].path);
	for (i = 0; i < testbed->servers_count; i++)
		http_listener_close(&testbed->servers[i].port);
	testbed_store_close(&testbed->store);
	testbed_duty_close(&testbed->duty);
	kwb_client_finish(&testbed->client);
	event_base_free(testbed->base);
}

void
testbed_run_for(struct testbed *testbed, unsigned duration_ms)
{
	uint64_t end_ns = kwb_clock_now_ns() + duration_ms * KWB_MS_NS;

	while (kwb_clock_now_ns() < end_ns) {
		event_base_loop(testbed->base, EVLOOP_NONBLOCK);
		usleep(500);
	}
}

struct testbed_node *
testbed_node(struct testbed *testbed, const char *name)
{
	unsigned i;

	for (i = 0; i < testbed->nodes_count; i++)
		if (strcmp(testbed->nodes[i].name, name) == 0)
			return &testbed->nodes[i];
	if (testbed->nodes_count == TESTBED_NODES_MAX)
		abort();
	kwb_text_copy(
	    testbed->nodes[i].name, sizeof(testbed->nodes[i].name), name);
	testbed->nodes[i].testbed = testbed;
	testbed->nodes_count++;
	return &testbed->nodes[i];
}

struct testbed_server *
testbed_server(struct testbed *testbed, const char *name)
{
	unsigned i;

	for (i = 0; i < testbed->servers_count; i++)
		if (strcmp(testbed->servers[i].name, name) == 0)
			return &testbed->servers[i];
	if (testbed->servers_count == TESTBED_SERVERS_MAX)
		abort();
	kwb_text_copy(
	    testbed->servers[i].name, sizeof(testbed->servers[i].name), name);
	testbed->servers_count++;
	return &testbed->servers[i];
}

/*
 * Ports are picked below the range that the kernel uses for outgoing
 * connections: one of these could otherwise hold the port when a process that
 * listens there is started again.
 */
void
testbed_pick_address(struct kwb_address *address)
{
	static unsigned next;
	struct sockaddr_in candidate = {.sin_family = AF_INET};
	unsigned tries;
	int fd;

	inet_pton(AF_INET, "127.0.0.1", &candidate.sin_addr);
	for (tries = 0; tries < PORT_COUNT; tries++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (next == 0)
			next = (unsigned)getpid() * 37;
		candidate.sin_port =
		    htons((uint16_t)(PORT_MIN + next++ % PORT_COUNT));
		if (bind(fd, (struct sockaddr *)&candidate,
			sizeof(candidate)) == 0) {
			close(fd);
			kwb_text_copy(
			    address->ip, sizeof(address->ip), "127.0.0.1");
			address->port = ntohs(candidate.sin_port);
			return;
		}
		close(fd);
	}
	abort();
}

static void
node_on_stopped(void *context)
{
	struct testbed_node *node = context;

	node->is_running = false;
}

void
testbed_node_start(struct testbed_node *node)
{
	kwb_node_settings_init(&node->settings);
	kwb_text_copy(
	    node->settings.node, sizeof(node->settings.node), node->name);
	kwb_text_copy(node->settings.failure_domain, KWB_NAME_MAX_BYTES, "z1");
	testbed_pick_address(&node->settings.listen);
	testbed_pick_address(&node->settings.ready);
	testbed_pick_address(&node->settings.metrics);
	if (!node->has_store_proxy &&
	    proxy_open(&node->store_proxy, node->testbed->base,
		&node->testbed->store.port.address) != 0)
		abort();
	node->has_store_proxy = true;
	node->settings.store = node->store_proxy.address;
	if (!node->has_no_peers)
		testbed_pick_address(&node->settings.peers);
	if (node->usage_window_ms != 0) {
		node->settings.duty_address = node->testbed->duty.port.address;
		node->settings.reports_usage = true;
		node->settings.scales_services = true;
		node->settings.usage_window_ms = node->usage_window_ms;
		node->settings.usage_late_ms = 5 * node->usage_window_ms;
	}
	if (node->lease_ms != 0)
		node->settings.lease_ms = node->lease_ms;
	node->settings.is_fencing_enforced = true;
	node->settings.is_revocation_strict = node->revoke_ms != 0;
	if (node->revoke_ms != 0)
		node->settings.revoke_ms = node->revoke_ms;
	node->settings.grace_ms = 8000;
	if (platform_store_init(&node->store, node->testbed->base,
		&node->settings.store) != 0 ||
	    kwb_node_init(&node->node, node->testbed->base, &node->settings,
		&node->store.store, &platform_message_codec,
		&platform_document_schema, node_on_stopped, node) != 0)
		abort();
	node->is_running = true;
	node->is_open = true;
}

void
testbed_node_kill(struct testbed_node *node)
{
	kwb_node_finish(&node->node);
	platform_store_finish(&node->store);
	node->is_running = false;
	node->is_open = false;
}

bool
testbed_is_known_red(const char *test)
{
	size_t bytes = strlen(test);
	char line[1024];
	FILE *file = fopen(KNOWN_FAILURES_FILE, "r");
	bool is_listed = false;

	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		is_listed |=
		    strncmp(line, test, bytes) == 0 && line[bytes] == ':';
	if (file != NULL)
		fclose(file);
	return is_listed;
}
