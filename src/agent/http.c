/*
 * Metrics and health of an agent over HTTP, if its settings name an address.
 */
#include <string.h>

#include <civetweb.h>

#include "agent.h"

static int metrics_on_request(struct mg_connection *connection, void *context);
static int health_on_request(struct mg_connection *connection, void *context);

/* Starts the server; KWB_ERR_SYSTEM if it cannot listen on the address. */
int
agent_http_start(struct kwb_agent *agent)
{
	const char *options[] = {"listening_ports", agent->settings->metrics,
	    "num_threads", "2", "tcp_nodelay", "1", NULL};
	struct mg_callbacks callbacks = {0};

	if (agent->settings->metrics[0] == '\0')
		return 0;
	mg_init_library(0);
	agent->http = mg_start(&callbacks, agent, options);
	if (agent->http == NULL)
		return KWB_ERR_SYSTEM;
	mg_set_request_handler(
	    agent->http, "/metrics$", metrics_on_request, agent);
	mg_set_request_handler(
	    agent->http, "/health$", health_on_request, agent);
	return 0;
}

void
agent_http_stop(struct kwb_agent *agent)
{
	if (agent->http == NULL)
		return;
	mg_stop(agent->http);
	mg_exit_library();
}

static int
metrics_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_buf out;

	(void)context;
	kwb_buf_init(&out);
	kwb_metrics_print(&out);
	mg_send_http_ok(
	    connection, "text/plain; version=0.0.4", (long long)out.used_bytes);
	mg_write(connection, out.data, out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

/* Answers 200, or 503 while the agent is leaving. */
static int
health_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_agent *agent = context;

	if (agent_is_leaving(agent))
		mg_send_http_error(connection, 503, "leaving");
	else
		mg_send_http_ok(connection, "text/plain", 0);
	return 200;
}
