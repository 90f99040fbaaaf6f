/*
 * Decisions on items: which starts first, and which goes on elsewhere. They
 * answer batches whose longest item takes nearly all of the time that its
 * trainer has.
 */
#include "kwb_node.h"

/*
 * A batch is done when the last item of its wanted groups is, so the longest
 * go first; what has begun goes on before anything new.
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
 * Slots are shared with other nodes' items, of which this node knows nothing;
 * the upstream orders them all. An item that has begun is moved because it is
 * long or was held up, so its step waits for it: it goes before new ones. What
 * the trainer likely does without goes last, and callers before all.
 */
int32_t
kwb_item_priority(const struct kwb_item_rank *rank)
{
	if (!rank->wanted)
		return KWB_PRIORITY_SURPLUS;
	return rank->events_count > 0 ? KWB_PRIORITY_STARTED : KWB_PRIORITY_NEW;
}

/*
 * Moving costs a read of the prompt and of the text so far, some milliseconds,
 * so it pays wherever another place is clearly faster: a trainer waits for the
 * last item of its groups.
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
 * second, and the first one waits for the reading of the prompt; any longer
 * gap is an upstream that has stopped, and its connection may stay open.
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
 * The first event comes within a few pauses, as a prompt is read in some
 * milliseconds. Later than that, others hold the slots: other nodes, whose
 * items this one has not heard of. An item that waits there has lost nothing
 * yet.
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
 * Texts that end together ask for their rewards together, and these take
 * places in the services that callers use, too. A caller waits for a fraction
 * of a second, a trainer for its whole step: so rewards leave room, until their
 * own step is near its end.
 */
bool
kwb_score_can_start(const struct kwb_score_input *input)
{
	return input->has_room || input->waited_ns >= KWB_SCORE_WAIT_NS ||
	    input->left_ns <= KWB_SCORE_URGENT_NS;
}

/*
 * Two owners that write for a moment make two texts; events of one never go on
 * from events of the other, but where it was resumed.
 */
bool
kwb_text_chunk_follows(
    const struct kwb_text_chunk *chunk, const struct kwb_text_chunk *before)
{
	if (chunk->first != before->last + 1)
		return false;
	if (chunk->text == before->text)
		return true;
	return chunk->before == before->text &&
	    chunk->resumed_at == before->last;
}
