/*
 * The text a fake engine makes: token i is "HHHH.V", a hash and the version.
 */
#include <math.h>
#include <stdio.h>

#include "kwb.h"
#include "text.h"

#define PARTS 4
#define PART_DEVIATION 1.73 /* scales a sum of four uniform parts to 1 */

uint64_t
fake_sequence_hash(const char *prompt, uint64_t seed)
{
	return kwb_hash(prompt, seed);
}

void
fake_token_text(char *text, uint64_t sequence, uint32_t index, uint64_t version)
{
	unsigned digits = (unsigned)(kwb_hash("t", sequence + index) & 0xffff);

	snprintf(text, FAKE_TOKEN_MAX_BYTES, "%04x.%llu", digits,
	    (unsigned long long)version);
}

uint32_t
fake_sequence_length(uint64_t sequence, int64_t median, int64_t spread_percent)
{
	double sum = 0, length;
	unsigned i;

	for (i = 0; i < PARTS; i++)
		sum += (double)((sequence >> (16 * i)) & 0xffff) / 65536.0;
	length = (double)median *
	    exp((sum - PARTS / 2.0) * PART_DEVIATION * (double)spread_percent /
		100.0);
	return length < 1 ? 1 : (uint32_t)length;
}
