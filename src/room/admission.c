/*
 * Whether a request can still be served in time, and when a refused one should
 * come back. Answers load above the places of a service: a request that is sure
 * to miss its deadline would only delay the others.
 */
#include <string.h>

#include "kwb_node.h"
#include "kwb_room.h"

/* Requests at an upstream: its report while it is recent, or this node's. */
static uint32_t
load_at(const struct kwb_upstream *upstream, uint32_t slots, uint64_t now_ns)
{
	uint32_t load = 0;

	if (upstream->reported_ns != 0 &&
	    now_ns - upstream->reported_ns < KWB_REPORT_TTL_NS)
		load = upstream->reported_load;
	if (load > slots * KWB_ROOM_LOAD_SLOTS_MAX)
		load = 0;
	return load > upstream->in_flight ? load : upstream->in_flight;
}

void
kwb_room_measure(const struct kwb_registry *registry, const char *service,
    uint64_t now_ns, struct kwb_room_places *places)
{
	uint32_t i;

	memset(places, 0, sizeof(*places));
	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];
		uint32_t slots =
		    upstream->status.slots ? upstream->status.slots : 1;
		uint32_t load = load_at(upstream, slots, now_ns);
		uint32_t backlog = load > slots ? load - slots : 0;

		if (!kwb_upstream_takes_requests(upstream) ||
		    strcmp(upstream->status.service, service) != 0)
			continue;
		places->places += slots;
		places->free_places += load < slots ? slots - load : 0;
		if (places->least_slots != 0 &&
		    (uint64_t)backlog * places->least_slots >=
			(uint64_t)places->least_backlog * slots)
			continue;
		places->least_backlog = backlog;
		places->least_slots = slots;
	}
	places->pace_ns = kwb_registry_median_pace(registry, service, now_ns);
}

/* Until the upstreams have a place, by their reports. */
static uint64_t
upstreams_wait_ns(const struct kwb_room_admission *input)
{
	const struct kwb_room_places *room = &input->room;

	if (room->places == 0 || room->least_slots == 0)
		return 0;
	if (room->free_places > input->ahead)
		return 0;
	return room->least_backlog * room->pace_ns / room->least_slots +
	    (input->ahead + 1 - room->free_places) * room->pace_ns /
	    room->places;
}

/* Until this node may start one more there, by the time of its answers. */
static uint64_t
limit_wait_ns(const struct kwb_room_admission *input)
{
	const struct kwb_room_limit *limit = input->limit;

	if (limit == NULL ||
	    (input->ahead == 0 && kwb_room_limit_has_room(limit)))
		return 0;
	return (input->ahead + 1) * limit->taken_ns * 1000 / limit->limit_milli;
}

uint64_t
kwb_room_expected_wait_ns(const struct kwb_room_admission *input)
{
	uint64_t upstreams_ns = upstreams_wait_ns(input);
	uint64_t limit_ns = limit_wait_ns(input);

	return upstreams_ns > limit_ns ? upstreams_ns : limit_ns;
}

enum kwb_room_verdict
kwb_room_admit(const struct kwb_room_admission *input)
{
	const struct kwb_room_places *room = &input->room;
	bool is_limited =
	    input->limit != NULL && !kwb_room_limit_has_room(input->limit);
	uint64_t needed_ns = kwb_room_expected_wait_ns(input) + room->pace_ns;

	if (is_limited && input->limit->taken_ns > room->pace_ns)
		needed_ns += input->limit->taken_ns - room->pace_ns;
	if (input->ahead == 0 && !is_limited &&
	    (room->free_places > 0 || room->places == 0))
		return KWB_ROOM_START;
	if ((room->pace_ns != 0 || is_limited) &&
	    input->now_ns + needed_ns > input->deadline_ns)
		return KWB_ROOM_REFUSE;
	return input->ahead == 0 && !is_limited ? KWB_ROOM_START
						: KWB_ROOM_WAIT;
}

/*
 * Callers that are refused in one burst would return in one. They are spread
 * over as much time again as the place is away.
 */
uint64_t
kwb_room_return_ns(uint64_t expected_ns, uint64_t left_ns, uint64_t random)
{
	uint64_t after_ns = expected_ns > KWB_ROOM_RETURN_MIN_NS
	    ? expected_ns
	    : KWB_ROOM_RETURN_MIN_NS;
	uint64_t latest_ns = left_ns / KWB_ROOM_RETURN_DIVISOR;

	after_ns += random % (after_ns + 1);
	if (after_ns > latest_ns)
		after_ns = latest_ns;
	return after_ns > KWB_MS_NS ? after_ns : KWB_MS_NS;
}

/*
 * Answers a restart of nodes while the store is away. A caller that returns
 * reaches another node, which may have a config; one with much time left does
 * better to wait for the store, as it may need that. While the store answers,
 * this node gets its own config.
 */
uint64_t
kwb_room_return_unready_ns(uint64_t silence_ns, uint64_t left_ns)
{
	uint64_t after_ns = left_ns / KWB_ROOM_RETURN_ELSEWHERE_DIVISOR;

	if (silence_ns < KWB_STORE_SILENT_NS ||
	    after_ns > KWB_ROOM_RETURN_CONFIG_NS)
		return KWB_ROOM_RETURN_CONFIG_NS;
	return after_ns > KWB_ROOM_RETURN_MIN_NS ? after_ns
						 : KWB_ROOM_RETURN_MIN_NS;
}
