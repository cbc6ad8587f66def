#!/usr/bin/env python3
"""Attributes the requests of a day that were not served in aim to reasons.

usage: what_binds.py REPORT LOG [REPORT LOG ...]

REPORT is the report of a day of the users' bench as JSON, LOG the output of the instances on that
day. The bench counts late, refused and failed requests per window of two seconds but does not name
each of them. The losses of a window are assigned to the reasons in REASONS, in that order, each at
most as often as the events and the log of the window give evidence for it; the rest is "other".
Prints one table row per day, and the windows with losses.
"""

import collections
import json
import pathlib
import re
import sys

WINDOW_S = 2.0
# Callers repeat a packet after pauses that double up to 1.6 s.
LONGEST_CALLER_PAUSE_S = 1.6
# The router probes twice per second and removes an instance after two failed probes.
ROUTER_DETECTION_S = 1.5
# Longest deadline of a long-flow request on any deployment so far.
DEADLINE_S = 2.5

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) t_ms=(\d+) event=(\S+) ?(.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')

POWER = "no instance ran"
RETURN = "caller's pause after all instances returned"
ROUTER = "router sent to an instance that was down or cut off"
DIED = "upstream died under work"
REJECTED = "rejected by an upstream"
OPENING = "opening packet to an upstream that did not answer"
GREY = "slow, failing or hanging upstream"
LOAD = "queued under load"
OTHER = "other"
REASONS = (POWER, RETURN, ROUTER, DIED, REJECTED, OPENING, GREY, LOAD, OTHER)
# No choice of upstreams changes these.
UNAVOIDABLE = (POWER, RETURN, ROUTER)

INSTANCE_FAULTS = ("node_kill", "node_cut", "node_freeze", "node_slow", "core_cut")
UPSTREAM_FAULTS = ("srv_grey", "srv_lying_health", "srv_flap", "srv_slow")
LOAD_CHANGES = ("burst", "shift", "scale_in", "evacuate")


def read_log(path):
    for text in open(path, errors="replace"):
        found = LINE.match(text)
        if found:
            yield float(found[1]), found[2], found[4], dict(FIELD.findall(found[5]))


def overlap(start, stop, begin):
    """Seconds that a span shares with the window that begins at `begin`."""
    return max(0.0, min(stop, begin + WINDOW_S) - max(start, begin))


def spans_of(report, kinds, extra_s):
    return [(event["at_s"], (event["to_s"] or event["at_s"]) + extra_s, event)
            for event in report["events"] if event["kind"].startswith(kinds)]


def count_named(what):
    """Number of machines in an event's text, which abbreviates long lists."""
    more = re.search(r" and (\d+) more$", what)
    return what.count(",") + 1 + (int(more[1]) if more else 0)


class evidence:
    """Flows and requests of one window, by what the log says of them."""

    def __init__(self):
        self.ended = set()
        self.placed_again = set()


def gather(lines):
    dead = {fields["upstream"] for _, _, event, fields in lines
            if event == "upstream_judged" and fields.get("verdict") == "dead"}
    windows = collections.defaultdict(evidence)
    for at, node, event, fields in lines:
        window = windows[int(at // WINDOW_S)]
        if event == "flow_ended" or (event == "request_repeated" and fields["upstream"] in dead):
            window.ended.add(fields["flow"])
        elif event == "upstream_judged" and fields.get("verdict") == "dead":
            # Flows that are ended without a packet of their own are only counted.
            window.ended.update((node, fields["upstream"], i)
                                for i in range(int(fields["flows_ended"])))
        elif event == "flow_placed" and fields.get("reason") == "placed_again":
            window.placed_again.add(fields["flow"])
    return windows


def outage_end(lines, start, stop):
    """When half of the instances that started after an outage forwarded packets again."""
    returns = sorted(at for at, _, event, _ in lines
                     if event in ("synchronised", "upstreams_known") and start < at < start + 8)
    return returns[len(returns) // 2] if returns else stop


def router_losses(report, begin, asked):
    """Requests that the router sent to instances that were down, before it noticed."""
    total = max(1, report["machines"])
    expected = 0.0
    for start, stop, event in spans_of(report, INSTANCE_FAULTS, 0):
        share = min(1.0, count_named(event["what"]) / total)
        noticed = min(stop, start + ROUTER_DETECTION_S)
        expected += asked * share * overlap(start, noticed, begin) / WINDOW_S
    return expected


def explain(report, lines):
    windows = gather(lines)
    total = max(1, report["machines"])
    outages = [(start, outage_end(lines, start, stop), min(1.0, count_named(event["what"]) / total))
               for start, stop, event in
               spans_of(report, ("closing", "herd_kill", "zone_loss"), 0)]
    rows = []
    for window in report["windows"]:
        begin = float(window["name"])
        lost = window["n"] - window["in_aim"] - window["not_owed"]
        if lost <= 0:
            continue
        seen = windows[int(begin // WINDOW_S)]

        def during(kinds, extra_s):
            return any(overlap(start, stop, begin) for start, stop, _ in
                       spans_of(report, kinds, extra_s))

        without_power = sum(share * overlap(start, stop, begin)
                            for start, stop, share in outages) / WINDOW_S
        after_power = any(overlap(start, stop + LONGEST_CALLER_PAUSE_S, begin)
                          for start, stop, _ in outages)
        limits = (
            (POWER, window["n"] * without_power),
            (RETURN, lost if after_power else 0),
            (DIED, len(seen.ended)),
            (REJECTED, window["refused"]),
            (GREY, window["failed"] if during(UPSTREAM_FAULTS, DEADLINE_S) else 0),
            (ROUTER, router_losses(report, begin, window["n"])),
            (OPENING, len(seen.placed_again)),
            (GREY, lost if during(UPSTREAM_FAULTS, DEADLINE_S) else 0),
            (LOAD, lost if during(LOAD_CHANGES, LONGEST_CALLER_PAUSE_S) else 0),
            (OTHER, lost),
        )
        assigned = collections.Counter()
        left = lost
        for reason, limit in limits:
            count = min(left, round(limit))
            if count > 0:
                assigned[reason] += count
                left -= count
        rows.append((begin, window, assigned))
    return rows


def print_day(name, report, rows):
    total = collections.Counter()
    for _, _, assigned in rows:
        total.update(assigned)
    asked = report["all"]["n"]
    unavoidable = sum(total[reason] for reason in UNAVOIDABLE)
    avoidable = sum(total.values()) - unavoidable
    print(f"\n{name}: worth {report['G']:.4f}, asked {asked}, in aim {report['all']['in_aim']} "
          f"({report['all']['in_aim'] / asked:.4f}, ceiling {1 - unavoidable / asked:.4f}), "
          f"avoidable {avoidable} ({100 * avoidable / asked:.2f}%)")
    for reason in REASONS:
        if total[reason]:
            print(f"  {reason}: {total[reason]} ({100 * total[reason] / asked:.2f}%)")
    for begin, window, assigned in rows:
        reasons = "; ".join(f"{reason} {count}" for reason, count in assigned.most_common())
        print(f"  {begin:5.0f} s  asked {window['n']:5} late {window['late']:4} refused "
              f"{window['refused']:4} failed {window['failed']:4}  {reasons}")
    if report["unserved_by"]:
        print("  not served, by the last attempt's end: "
              + ", ".join(f"{entry[0]} {entry[1]}" for entry in report["unserved_by"]))


def main():
    arguments = sys.argv[1:]
    if not arguments or len(arguments) % 2:
        sys.exit(__doc__)
    for report_path, log_path in zip(arguments[::2], arguments[1::2]):
        report = json.load(open(report_path))
        lines = list(read_log(log_path))
        print_day(pathlib.Path(report_path).stem, report, explain(report, lines))


if __name__ == "__main__":
    main()
