/*
 * Clocks. Deadlines inside a process are monotonic nanoseconds; only times
 * that leave the process are wall-clock milliseconds.
 */
#include <time.h>

#include "kwb.h"

uint64_t
kwb_clock_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000ull + (uint64_t)ts.tv_nsec;
}

uint64_t
kwb_clock_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000ull + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
kwb_clock_remaining_ms(uint64_t deadline_ns)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (deadline_ns <= now_ns)
		return 0;
	return (deadline_ns - now_ns) / KWB_MS_NS;
}

void
kwb_clock_sleep_ns(uint64_t length_ns)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(length_ns / 1000000000ull);
	ts.tv_nsec = (long)(length_ns % 1000000000ull);
	nanosleep(&ts, NULL);
}

/* By default, a condition variable waits on the wall clock. */
void
kwb_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

void
kwb_cond_wait_until(
    pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t deadline_ns)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(deadline_ns / 1000000000ull);
	ts.tv_nsec = (long)(deadline_ns % 1000000000ull);
	pthread_cond_timedwait(cond, lock, &ts);
}
