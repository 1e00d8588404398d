#!/usr/bin/env python3
"""Prints the share of its worth that each class of requests has earned, from entries of the journal.

A fix that moves a loss from one class to another shows here, while the score may stay as it is.

    tools/class_shares.py [--code REVISION] [--site NAME] [--day NAME] [--seed N] [--entry ID]...

Classes are in the order of the site file. Lines are in the order of the plays.
"""

import argparse
import json
import pathlib

JOURNAL = pathlib.Path(__file__).resolve().parent.parent / "journal"


def load_entries():
    """Returns the entries with days, oldest first."""
    entries = []
    for path in sorted(JOURNAL.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("days"):
            entries.append(entry)
    return entries


def matches(entry, day, options):
    return (
        (not options.entry or entry["id"] in options.entry)
        and (not options.code or entry.get("head", "").startswith(options.code))
        and (not options.site or entry.get("site") == options.site)
        and (not options.day or day["name"] == options.day)
        and (options.seed is None or day["seed"] == options.seed)
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--code", help="start of the commit that was played")
    parser.add_argument("--site")
    parser.add_argument("--day")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--entry", action="append", default=[], help="id of a journal entry; may be repeated")
    options = parser.parse_args()
    print("| entry | code | site | day | seed | share by class | worth | gate | rules |")
    print("|---|---|---|---|--:|---|--:|---|---|")
    for entry in load_entries():
        for day in entry["days"]:
            if not matches(entry, day, options):
                continue
            code = entry.get("head", "")[:7] + ("+" if entry.get("dirty") else "")
            shares = ", ".join("-" if share is None else f"{share:.3f}" for share in day.get("by_class") or [])
            rules = " ".join(f"{rule} {count}" for rule, count in (day.get("rules") or {}).items())
            gate = "passed" if day.get("gate") else "failed"
            print(
                f"| {entry['id']} | {code} | {entry.get('site')} | {day['name']} | {day['seed']} | {shares} "
                f"| {day.get('G', 0):.3f} | {gate} | {rules} |"
            )


if __name__ == "__main__":
    main()
