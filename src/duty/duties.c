/*
 * The duties of a node. Every node counts usage and load; the holder of the
 * weight updater's lease makes the calls. One lease serves all duties: its
 * tokens grow for each of them, and no further row is renewed and read by all
 * nodes.
 */
#include <string.h>

#include "kwb_node.h"

void
kwb_duties_init(struct kwb_duties *duties, struct kwb_node *node)
{
	const struct kwb_node_settings *settings = node->settings;
	bool has_address = settings->duty_address.port != 0;

	memset(duties, 0, sizeof(*duties));
	duties->reports_usage = has_address && settings->reports_usage &&
	    settings->usage_window_ms != 0;
	duties->scales_services = has_address && settings->scales_services;
	duties->caller = (struct kwb_duty_caller){.client = &node->client,
	    .settings = settings,
	    .lease = &node->weight_updater.lease};
	if (duties->reports_usage) {
		kwb_usage_meter_init(
		    &duties->meter, node->store, settings, node->incarnation);
		kwb_usage_reporter_init(&duties->reporter, node->store,
		    settings, node->codec->duty, &duties->caller);
		node->forward.usage = &duties->meter;
	}
	if (duties->scales_services)
		kwb_scaler_init(&duties->scaler, node, &duties->caller);
}

void
kwb_duties_finish(struct kwb_duties *duties)
{
	if (duties->scales_services)
		kwb_scaler_finish(&duties->scaler);
	if (duties->reports_usage) {
		kwb_usage_reporter_finish(&duties->reporter);
		kwb_usage_meter_finish(&duties->meter);
	}
	kwb_duty_caller_cancel(&duties->caller);
}

void
kwb_duties_check(struct kwb_duties *duties, uint32_t fleet_nodes)
{
	duties->meter.fleet_nodes = fleet_nodes;
	duties->scaler.fleet_nodes = fleet_nodes;
	if (duties->reports_usage) {
		kwb_usage_meter_check(&duties->meter);
		kwb_usage_reporter_check(&duties->reporter);
	}
	if (duties->scales_services)
		kwb_scaler_check(&duties->scaler);
}

void
kwb_duties_stop(struct kwb_duties *duties)
{
	if (!duties->reports_usage)
		return;
	duties->meter.is_stopping = true;
	kwb_usage_meter_check(&duties->meter);
}
