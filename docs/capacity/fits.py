#!/usr/bin/env python3
"""Fits the slopes of docs/CAPACITY.md to the scale runs in this folder: fits.py [FOLDER]

A line for each: what it is, by what it grows, base and slope, the worst error at the points of the fit, and the
error at the point held back. Errors are relative: (fit - measured) / measured, in per cent. Counts and memory are
fitted by the least squares of relative errors, times by those of absolute ones, since short times are mostly the
machine's noise.
"""

import json
import pathlib
import sys

FOLDER = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else pathlib.Path(__file__).parent
SERVERS, SERVERS_HELD_BACK = [100, 500, 1500, 4600], 2500
NODES, NODES_HELD_BACK = [100, 300, 1000, 3000, 5000], 2000
# Without changes nodes renew their watches instead: a line of its own.
RATES, RATES_HELD_BACK = ["0.2", "1", "5"], "2"


REQUESTS, REQUESTS_HELD_BACK = [100, 1000, 4600], 2500


def run(name):
    return json.loads((FOLDER / f"scale-{name}.json").read_text())


def line(points, relative):
    weights = [(x, y, 1 / y**2 if relative else 1) for x, y in points]
    total = sum(w for *_, w in weights)
    mean_x = sum(w * x for x, _, w in weights) / total
    mean_y = sum(w * y for _, y, w in weights) / total
    slope = sum(w * (x - mean_x) * (y - mean_y) for x, y, w in weights)
    slope /= sum(w * (x - mean_x) ** 2 for x, _, w in weights)
    return mean_y - slope * mean_x, slope


def fit(what, unit, points, held_back, relative):
    base, slope = line(points, relative)
    error = lambda x, y: 100 * (base + slope * x - y) / y
    worst = max((error(*point) for point in points), key=abs)
    print(f"{what}: {base:.6g} + {slope:.6g} {unit}; worst {worst:+.1f} %, held back {error(*held_back):+.1f} %")


def series(prefix, values, held_back, figure, unit, what, relative=True):
    point = lambda value: (float(value), figure(run(f"{prefix}-{value}")))
    fit(what, unit, [point(value) for value in values], point(held_back), relative)


def whole_list_bytes(report):
    """Of one whole list: what simulated nodes got, less the answers while it was measured."""
    counts = report["counts"]
    start = counts["simulated"]["answer_bytes"] - counts["simulated_measured"]["answer_bytes"]
    return start / (counts["simulated"]["whole_answers"] - counts["simulated_measured"]["whole_answers"])


def discovery_us_per_answer(report):
    return report["discovery"]["processor_us_per_s"] / report["discovery"]["traffic"]["answers_per_s"]


def real_us_per_request(report):
    """Without what a node takes at rest (the fit by changes, at 0.2 a second)."""
    at_rest = run("rate-0.2")["real_node"]["processor_us_per_s"]
    seconds = report["measured_s"]
    return (report["real_node"]["processor_us_per_s"] - at_rest) * seconds / report["clients"]["asked"]


def decision_us_per_request(report):
    node = report["simulated_node"]
    return (node["processor_us_per_s"] - node["control_processor_us_per_s"]) / node["requests_per_s"]


def each(kind, *path):
    def figure(report):
        value = report[kind]
        for name in path:
            value = value[name]
        return value

    return figure


def main():
    def by_servers(figure, what, relative=True):
        series("servers", SERVERS, SERVERS_HELD_BACK, figure, "x servers", what, relative)

    def by_nodes(figure, what, relative=True):
        series("nodes", NODES, NODES_HELD_BACK, figure, "x nodes", what, relative)

    def by_rate(figure, what):
        series("rate", RATES, RATES_HELD_BACK, figure, "x changes a second", what)

    by_servers(whole_list_bytes, "bytes of a whole list")
    by_servers(each("simulated_node", "resident_kib"), "simulated node's memory, KiB")
    by_servers(each("real_node", "resident_kib"), "real node's memory, KiB")
    by_servers(each("start", "simulated", "worst_ms"), "start of 300 nodes, the last, ms", relative=False)
    by_nodes(each("start", "simulated", "worst_ms"), "start of all nodes, the last, ms", relative=False)
    by_nodes(each("discovery", "resident_kib"), "discovery's process, KiB")
    by_nodes(each("discovery", "traffic", "calls_per_s"), "calls at discovery a second at 0.5 changes")
    by_nodes(each("discovery", "processor_us_per_s"), "discovery's processor time at 0.5 changes, us/s")
    by_nodes(each("list_change", "to_last_node", "p50_ms"), "change to the last node, median, ms", relative=False)
    by_nodes(each("list_change", "to_last_node", "worst_ms"), "change to the last node, worst, ms", relative=False)
    series("requests", REQUESTS, REQUESTS_HELD_BACK, real_us_per_request, "x servers",
           "real node's processor time for a request, 100 a second, us", relative=False)
    series("requests", REQUESTS, REQUESTS_HELD_BACK, decision_us_per_request, "x servers",
           "decision in a simulated node, 100 a second, us", relative=False)
    by_rate(each("simulated_node", "traffic", "call_bytes_per_s"), "bytes a node sends, a second")
    by_rate(each("simulated_node", "traffic", "answer_bytes_per_s"), "bytes a node gets, a second")
    by_rate(each("simulated_node", "processor_us_per_s"), "simulated node's processor time, us/s")
    by_rate(each("real_node", "processor_us_per_s"), "real node's processor time, us/s")
    by_rate(each("discovery", "processor_us_per_s"), "discovery's processor time, 301 nodes, us/s")
    for value in ["0.2", "1", "2", "5"]:
        print(f"discovery's processor time for an answer at {value} changes a second: "
              f"{discovery_us_per_answer(run('rate-' + value)):.1f} us")


if __name__ == "__main__":
    main()
