/*
 * Decisions on items, without side effects: which one starts first, which one
 * has stalled, moves or is scored, and which stored text continues another.
 * They suit batches whose longest item takes nearly all of the time that the
 * trainer has for a step.
 */
#include "kwb_node.h"

/*
 * A batch is done when the last item of its wanted groups is, so the longest
 * items start first. An item that has events is resumed before a new one
 * starts.
 */
int
kwb_item_rank_compare(
    const struct kwb_item_rank *a, const struct kwb_item_rank *b)
{
	if (a->wanted != b->wanted)
		return a->wanted ? -1 : 1;
	if ((a->events_count > 0) != (b->events_count > 0))
		return a->events_count > 0 ? -1 : 1;
	if (a->length_hint != b->length_hint)
		return a->length_hint > b->length_hint ? -1 : 1;
	if (a->group_index != b->group_index)
		return a->group_index < b->group_index ? -1 : 1;
	return 0;
}

/*
 * Nodes share an upstream's slots and don't know of each other's items, so the
 * upstream's queue orders them. An item with events was moved there because it
 * is long or was delayed, and its step waits for it: it goes before new items.
 * Items of surplus groups go last, interactive requests before all.
 */
int32_t
kwb_item_priority(const struct kwb_item_rank *rank)
{
	if (!rank->wanted)
		return KWB_PRIORITY_SURPLUS;
	return rank->events_count > 0 ? KWB_PRIORITY_STARTED : KWB_PRIORITY_NEW;
}

/*
 * A move costs some milliseconds, as the new upstream reads the prompt and the
 * text so far, so it is worthwhile wherever the candidate is clearly faster: a
 * trainer waits for the last item of its groups.
 */
bool
kwb_move_is_worthwhile(const struct kwb_move_input *input)
{
	return input->best_pace_ns != 0 && input->moves < KWB_MOVES_MAX &&
	    input->elapsed_ns >= KWB_MOVE_MIN_NS &&
	    input->pace_ns * 10 > input->best_pace_ns * 17;
}

/*
 * Events come at an even pace. A load of weights interrupts them for about a
 * second, and the first one comes after the prompt is read. Any longer gap
 * means that the upstream has stopped, even if its connection stays open.
 */
bool
kwb_item_is_stalled(const struct kwb_stall_input *input)
{
	uint64_t limit_ns = KWB_STALL_NS;

	if (input->is_loading)
		return false;
	if (!input->has_begun)
		limit_ns = KWB_STALL_FIRST_EVENT_NS;
	if (input->pace_ns * KWB_STALL_PACES > limit_ns)
		limit_ns = input->pace_ns * KWB_STALL_PACES;
	return input->elapsed_ns >= limit_ns;
}

/*
 * After a pause of this process, timers fire before the events that came
 * meanwhile are read: all upstreams then seem to have been silent.
 */
bool
kwb_check_was_delayed(uint64_t due_ns, uint64_t now_ns)
{
	return now_ns >= due_ns + KWB_CHECK_DELAY_NS;
}

/*
 * The first event usually comes within a few event gaps, as reading a prompt
 * takes some milliseconds. When it is later, items of other nodes, unknown to
 * this one, hold the slots. Moving an item that waits there loses no work.
 */
bool
kwb_item_is_queued(const struct kwb_stall_input *input)
{
	uint64_t limit_ns = input->pace_ns * KWB_QUEUED_PACES;

	if (input->is_loading || input->has_begun)
		return false;
	return input->elapsed_ns >=
	    (limit_ns > KWB_QUEUED_NS ? limit_ns : KWB_QUEUED_NS);
}

/*
 * Generations that end together request their rewards together, from services
 * that also answer interactive callers. A caller waits for a fraction of a
 * second, a trainer for its whole step, so rewards leave room for callers
 * until their step is nearly due.
 */
bool
kwb_score_can_start(const struct kwb_score_input *input)
{
	return input->has_spare_slot || input->waited_ns >= KWB_SCORE_WAIT_NS ||
	    input->left_ns <= KWB_SCORE_URGENT_NS;
}

/*
 * Two nodes may briefly own a batch and write different texts for an item.
 * Events of one text continue another text only at the event where it was
 * resumed.
 */
bool
kwb_text_chunk_follows(
    const struct kwb_text_chunk *chunk, const struct kwb_text_chunk *previous)
{
	if (chunk->first_event != previous->last_event + 1)
		return false;
	if (chunk->text_id == previous->text_id)
		return true;
	return chunk->parent_text_id == previous->text_id &&
	    chunk->parent_last_event == previous->last_event;
}
