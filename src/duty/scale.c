/* How many upstreams a service needs in a failure domain. */
#include "kwb_node.h"

/* Upstreams that run this load with so many percent of their slots. */
static uint64_t
upstreams_for(uint64_t requests, uint64_t slots_each, uint32_t fill_percent)
{
	uint64_t room = slots_each * fill_percent;

	return (requests * 100 + room - 1) / room;
}

/* The domain's load, if those without a report are like the others. */
static uint64_t
estimate_requests(const struct kwb_scale_load *load)
{
	return load->known == 0
	    ? 0
	    : load->requests * load->upstreams / load->known;
}

/*
 * Load: rises and falls within seconds, while an upstream takes seconds to boot
 * and is billed. All upstreams full, which shows no more load than their slots
 * and queues, orders a half more at a time.
 */
uint32_t
kwb_scale_need(const struct kwb_scale_input *input)
{
	const struct kwb_scale_load *here = &input->load[input->domain];
	uint64_t requests = 0;
	uint64_t slots_each;
	uint64_t need;
	uint64_t need_after_loss = 0;
	uint32_t i;

	if (here->known == 0 || here->known * 2 < here->upstreams ||
	    here->slots < here->known)
		return 0;
	slots_each = here->slots / here->known;
	for (i = 0; i < input->domains; i++)
		requests += estimate_requests(&input->load[i]);
	need = upstreams_for(
	    estimate_requests(here), slots_each, KWB_SCALE_FILL_PERCENT);
	if (input->domains > 1)
		need_after_loss =
		    upstreams_for(requests, slots_each * (input->domains - 1),
			KWB_SCALE_LOSS_FILL_PERCENT);
	if (need < need_after_loss)
		need = need_after_loss;
	if (need < 1)
		need = 1;
	if (need < input->min)
		need = input->min;
	return need < input->max ? (uint32_t)need : input->max;
}

/* Hysteresis: a decrease goes no lower than the highest need since the last. */
void
kwb_scale_decide(struct kwb_scale_state *state, uint32_t need,
    uint32_t upstreams, uint32_t boot_ms, uint64_t now_ns)
{
	uint64_t hold_ns = KWB_SCALE_DOWN_NS + 2 * boot_ms * KWB_MS_NS;
	uint32_t step;

	if (need == 0)
		return;
	if (state->target == 0) {
		state->target = upstreams;
		state->down_ns = now_ns + hold_ns;
	}
	if (need >= state->target) {
		state->target = need;
		state->peak_need = 0;
		state->down_ns = now_ns + hold_ns;
		return;
	}
	if (state->peak_need < need)
		state->peak_need = need;
	if (now_ns < state->down_ns)
		return;
	step = state->target / KWB_SCALE_STEP_DIVISOR;
	state->target -= step > 0 ? step : 1;
	if (state->target < state->peak_need)
		state->target = state->peak_need;
	state->peak_need = need;
	state->down_ns = now_ns + hold_ns;
}
