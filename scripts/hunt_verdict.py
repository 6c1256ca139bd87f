#!/usr/bin/env python3
"""Prints each day of journal entries with its gate, what fell short, and broken rules.

Usage: scripts/hunt_verdict.py journal/ENTRY.json...
Exit code 1 if a day failed its gate.
"""

import json
import sys


def print_day(day):
    verdict = "passed" if day.get("gate") else "FAILED"
    problems = (day.get("short") or []) + sorted(day.get("rules") or {})
    if day.get("fault"):
        problems.append(str(day["fault"]))
    classes = " ".join("-" if share is None else f"{share:.3f}" for share in day.get("by_class") or [])
    worst = [part[2] for part in day.get("parts") or [] if part[0] == "worst class"]
    print(f"  gate {verdict}  {day.get('name')}  classes {classes}  worst {worst[0] if worst else '-'}")
    for problem in problems:
        print(f"      {problem}")


def main(paths):
    failed = 0
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        days = entry.get("days") or []
        failing = sum(1 for day in days if not day.get("gate"))
        failed += failing
        print(f"{path}: {entry.get('cmd')} {entry.get('site')}, {len(days)} days, {failing} failed their gate")
        for day in days:
            print_day(day)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
