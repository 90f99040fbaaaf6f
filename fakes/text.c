/*
 * Text that the fake engine generates.
 */
#include <math.h>
#include <stdio.h>

#include "kwb.h"
#include "text.h"

#define UNIFORM_TERMS 4
#define UNIFORM_SUM_SCALE 1.73 /* sqrt(3): their sum gets deviation 1 */

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

	for (i = 0; i < UNIFORM_TERMS; i++)
		sum += (double)((sequence >> (16 * i)) & 0xffff) / 65536.0;
	length = (double)median *
	    exp((sum - UNIFORM_TERMS / 2.0) * UNIFORM_SUM_SCALE *
		(double)spread_percent / 100.0);
	return length < 1 ? 1 : (uint32_t)length;
}
