#!/usr/bin/env python3
"""Plots the stall share over time of each policy with gnuplot.

usage: lovagegate-measure --scenario=shift --timeline | tools/plot_policy.py OUT.svg
"""
import json
import subprocess
import sys


def read_series(lines):
    """Returns the points of each policy, and of the clairvoyant bound."""
    series = {}
    for line in lines:
        record = json.loads(line)
        if "timeline" not in record:
            continue
        seconds = record["seconds"]
        points = series.setdefault(record["timeline"], [])
        points.append((seconds, record["load_stall_share"]))
        bound = series.setdefault("clairvoyant", {})
        bound[seconds] = record["bound_stall_share"]
    if "clairvoyant" in series:
        series["clairvoyant"] = sorted(series["clairvoyant"].items())
    return series


def main():
    series = read_series(sys.stdin)
    plots = ", ".join(
        f"'-' with lines title '{name}'" for name in series)
    script = [
        "set terminal svg size 900,420",
        f"set output '{sys.argv[1]}'",
        "set xlabel 'seconds'",
        "set ylabel 'share of requests that wait for a load'",
        "set yrange [0:1]",
        f"plot {plots}",
    ]
    for points in series.values():
        script += [f"{x} {y}" for x, y in points] + ["e"]
    subprocess.run(["gnuplot"], input="\n".join(script), text=True,
                   check=True)


if __name__ == "__main__":
    main()
