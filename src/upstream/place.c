/*
 * Decisions on where a generation runs, by when it would end there. They suit
 * upstreams that differ in speed and share their machines with other work,
 * which slows each of them for moments at a time, and batches in which few
 * long texts decide when the step ends.
 */
#include "kwb_node.h"

/*
 * A slow phase is expected to last for as long again as it has lasted: most
 * are over soon, and one that isn't shows it by its age.
 */
static uint64_t
slow_phase_ns(const struct kwb_pace_view *view, uint64_t *pace_ns)
{
	uint64_t usual_ns = view->usual_ns;

	if (view->recent_ns != 0 && view->slow_ns != 0 &&
	    view->recent_age_ns < view->slow_ns) {
		*pace_ns = view->recent_ns;
		return view->slow_ns - view->recent_age_ns;
	}
	if (view->percent > view->usual_percent && view->usual_percent != 0 &&
	    view->percent_age_ns < KWB_REPORT_TTL_NS) {
		*pace_ns = usual_ns * view->percent / view->usual_percent;
		if (*pace_ns > usual_ns * KWB_SLOWNESS_RATIO_MAX)
			*pace_ns = usual_ns * KWB_SLOWNESS_RATIO_MAX;
		return KWB_REPORT_TTL_NS - view->percent_age_ns;
	}
	return 0;
}

uint64_t
kwb_pace_run_ns(const struct kwb_pace_view *view, uint64_t units)
{
	struct kwb_pace_view known = *view;
	uint64_t slots = view->slots ? view->slots : 1;
	uint64_t slow_pace_ns = 0;
	uint64_t slow_ns;
	uint64_t slow_units;

	if (known.usual_ns == 0)
		known.usual_ns = view->service_ns;
	slow_ns = slow_phase_ns(&known, &slow_pace_ns);
	slow_units = slow_pace_ns != 0 ? slow_ns / slow_pace_ns : 0;
	if (slow_units > units)
		slow_units = units;
	/* Each request that runs beside it adds to the time of a unit. */
	return slow_units * slow_pace_ns +
	    (units - slow_units) * known.usual_ns *
	    (100 * slots + KWB_LOAD_PERCENT * view->load) / (100 * slots);
}

/*
 * An upstream reads prompts in turn, between the events of what it generates.
 * So a short prompt keeps off upstreams that have long ones to read, and long
 * ones keep off each other and off upstreams with much to hold up.
 */
uint64_t
kwb_prompt_cost_ns(const struct kwb_pace_view *view, uint64_t prompt_tokens)
{
	uint64_t slots = view->slots ? view->slots : 1;

	return view->read_ns_per_token *
	    (view->unread_tokens + prompt_tokens +
		prompt_tokens * view->load / slots);
}

/*
 * Both ends are estimates, so a move has to gain a part of what it estimates.
 * A run that ends before the rest of its step does gains its trainer nothing.
 */
bool
kwb_move_pays(const struct kwb_move_terms *terms)
{
	return terms->moves < KWB_MOVES_MAX &&
	    terms->stay_ns > terms->step_least_ns &&
	    terms->move_ns + terms->move_ns / KWB_MOVE_MARGIN_DIVISOR +
		KWB_MOVE_GAIN_MIN_NS <
	    terms->stay_ns;
}

/*
 * A text that has outgrown its hint goes on for a part of its length so far:
 * lengths vary by orders of magnitude.
 */
uint64_t
kwb_units_left(
    uint64_t length_hint, uint64_t hint_per_unit, uint64_t units_done)
{
	uint64_t expected =
	    hint_per_unit != 0 ? length_hint / hint_per_unit : 0;
	uint64_t overrun = units_done / KWB_OVERRUN_DIVISOR + 1;

	return expected > units_done + overrun ? expected - units_done
					       : overrun;
}
