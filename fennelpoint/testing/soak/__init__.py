"""A soak: the whole system as real processes under overlapping troubles, judged by what clients and backends saw."""
