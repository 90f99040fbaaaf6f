/*
 * What the measurements share: a process's own usage, percentiles, a series
 * through points.
 */
#ifndef KWB_BENCH_MEASURE_H
#define KWB_BENCH_MEASURE_H

#include "../tests/world.h"

#define POINTS_MAX 8

struct usage {
	double cpu_ms;
	double rss_kb;
	double control_bytes; /* sent, by the process's own counter */
};

struct series {
	unsigned count;
	double x[POINTS_MAX];
	double y[POINTS_MAX];
};

void usage_read(struct world *world, const char *name, struct usage *usage);
void series_add(struct series *series, double x, double y);
void series_print(const struct series *series, const char *what,
    const char *per,
    const char *unit); /* the points, the slope and where it begins */
double percentile(double *values, unsigned count, double part);

#endif
