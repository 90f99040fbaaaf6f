/*
 * The duties of a node. Every node counts usage; the holder of the weight
 * updater's lease reports it. One lease serves all duties: its tokens grow for
 * each of them, and no further row is renewed and read by all nodes.
 */
#include <string.h>

#include "kwb_node.h"

void
kwb_duties_init(struct kwb_duties *duties, struct kwb_node *node)
{
	const struct kwb_node_settings *settings = node->settings;

	memset(duties, 0, sizeof(*duties));
	if (settings->duty_address.port == 0 || !settings->reports_usage ||
	    settings->usage_window_ms == 0)
		return;
	duties->is_enabled = true;
	kwb_usage_meter_init(
	    &duties->meter, node->store, settings, node->incarnation);
	duties->caller = (struct kwb_duty_caller){.client = &node->client,
	    .settings = settings,
	    .lease = &node->weight_updater.lease};
	kwb_usage_reporter_init(&duties->reporter, node->store, settings,
	    node->codec->duty, &duties->caller);
	node->forward.usage = &duties->meter;
}

void
kwb_duties_finish(struct kwb_duties *duties)
{
	if (!duties->is_enabled)
		return;
	kwb_usage_reporter_finish(&duties->reporter);
	kwb_duty_caller_cancel(&duties->caller);
	kwb_usage_meter_finish(&duties->meter);
}

void
kwb_duties_check(struct kwb_duties *duties, uint32_t fleet_nodes)
{
	if (!duties->is_enabled)
		return;
	duties->meter.fleet_nodes = fleet_nodes;
	kwb_usage_meter_check(&duties->meter);
	kwb_usage_reporter_check(&duties->reporter);
}

void
kwb_duties_stop(struct kwb_duties *duties)
{
	if (!duties->is_enabled)
		return;
	duties->meter.is_stopping = true;
	kwb_usage_meter_check(&duties->meter);
}
