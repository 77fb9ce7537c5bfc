#!/usr/bin/env python3
"""Computes the table of docs/CAPACITY.md from measured slopes. Usage: capacity.py BENCH_JSON CONTROL_BYTES, where
BENCH_JSON is the output of `build/bench --benchmark_out=FILE --benchmark_out_format=json` and CONTROL_BYTES the sum
of bytes sent and received per second by a host at rest among 20 (bench/control_traffic.py build/agatepost 45 20)."""
import json
import sys

HOSTS, ENDPOINTS, ADDRESSES, ZONES = 17000, 170000, 31000, 16
OPEN_FLOWS, NEW_FLOWS, CHANGES_A_DAY, HOST_EVENTS_A_DAY = 370e6, 1.4e6, 10000, 580 + 10000
NOTICE_BYTES = 2 * (44 + 40)    # a reset's header copy with its envelope, counted at both hosts
DELTA_LINKS = 5                 # approximate number of links of a host, in or out, that each change crosses
PROBERS, REPORT_BYTES = 2, 120  # hosts that probe a target; one report datagram, sent and received

with open(sys.argv[1]) as file:
    rows = {row["name"].split("/")[0]: row for row in json.load(file)["benchmarks"]}
rest = float(sys.argv[2])


def seconds(name):
    unit = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0}[rows[name]["time_unit"]]
    return rows[name]["cpu_time"] * unit


table_bytes = rows["bench_flow_state_memory"]["table_MB"] * 1e6 / 300000
config_mb = rows["bench_first_listing"]["heap_MB"]
flows_a_host = OPEN_FLOWS / HOSTS
opens_a_host = NEW_FLOWS / HOSTS
changes = CHANGES_A_DAY / 86400
targets_a_host = ENDPOINTS * PROBERS / HOSTS
delta_bytes = rows["bench_delta_of_one_change"]["bytes"] * DELTA_LINKS * changes

print(f"flows of one host: {flows_a_host:.0f} open, {opens_a_host:.0f} new a second")
print(f"flow state: {table_bytes:.0f} B a flow, {flows_a_host * table_bytes / 1e6:.1f} MB a host")
print(f"chooser: {seconds('bench_chooser_new_flows') * 1e6:.2f} us a flow opened and closed, "
      f"{100 * opens_a_host * seconds('bench_chooser_new_flows'):.3f}% of a core")
print(f"configuration: {config_mb:.1f} MB, first listing {seconds('bench_first_listing'):.2f} s of a core")
print(f"one change: {seconds('bench_one_change') * 1e6:.1f} us, "
      f"{100 * changes * seconds('bench_one_change'):.5f}% of a core at {changes:.3f} a second; "
      f"a full build instead: {100 * changes * seconds('bench_one_change_full_build'):.2f}%")
print(f"changes on the wire: {delta_bytes:.0f} B/s a host")
print(f"membership and links at rest among 20 hosts: {rest:.0f} B/s a host")
print(f"membership events in a zone: {2 * HOST_EVENTS_A_DAY / ZONES / 86400:.4f} a second")
print(f"probes: {targets_a_host:.0f} targets a host, {targets_a_host * REPORT_BYTES:.0f} B/s "
      "if each verdict were sent alone each second")
print(f"notices of resets at 1% of flows: {0.01 * opens_a_host * NOTICE_BYTES:.0f} B/s a host")
print(f"store: {2 * ZONES} waiting watches, renewed each 3 s: {2 * ZONES / 3:.1f} calls a second; "
      f"platform list each 5 s: {2 * ZONES / 5:.1f} calls a second, each of two pages or more")
print(f"memory of a host: {config_mb + flows_a_host * table_bytes / 1e6:.1f} MB of 128 MB")
