#!/usr/bin/env python3
"""Compares checkouts on the same days and seeds, and says how sure a difference is.

    bench/compare.py BENCH SITE NAME=FOLDER... [--days trouble|all|DAY,...] [--seeds 1-6]
                     [--jobs 4] [--small] [--results FILE] [--plot FILE]

Each play is `BENCH run SITE DAY --seed N --no-cpu` in the folder; the first checkout is
the one that the others are compared with. Results are kept in FILE as they come; plays that
it has already, under the same name, are not played again, so that a baseline is played once
and a run that was cut goes on where it was. DAY may be a file with a
day of your own. --small plays the small twins of large days; the checkouts are then copies
made by bench/small-twin.sh. Printed: the worth of each day (mean, lowest with its seed), the mean of
all with its standard error, credit by part, prices, broken rules; then the paired
differences with their errors. A difference below two errors says nothing.
"""
import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

# A price below this is not printed, in parts of the worth.
LEAST_PRICE = 0.0005


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def parse_days(site, wanted):
    with open(site) as file:
        names = re.findall(r'^\[\[day\]\]\s*\nname = "([^"]+)"', file.read(), re.M)
    if wanted == "all":
        return names
    if wanted == "trouble":
        return [name for name in names if not name.startswith("quiet")]
    return [os.path.abspath(day) if os.path.exists(day) else day for day in wanted.split(",")]


def play(bench, site, folder, day, seed, small):
    """Returns what the bench reports of one day, reduced to what is compared."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report.name]
        command += ["--small"] if small else []
        done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
        try:
            told = json.load(open(report.name))
        except ValueError:
            return {"error": (done.stdout + done.stderr)[-400:]}
    return {
        "worth": told["G"], "behind": behind_of(told.get("hints") or []),
        "breaks": told.get("breaks") or {}, "fault": told.get("fault"), "first": told.get("first"),
        "parts": {name: share for name, _, share in told["parts"]},
        "prices": {name: price for name, _, price in told["prices"]},
    }


def behind_of(hints):
    """Returns by how many seconds the trainers' last steps came late: steadier than the
    worth, which falls by whole steps."""
    late = [float(each) for hint in hints
            for each in re.findall(r"steps asked, the last ([\d.]+) s behind", hint)]
    return statistics.mean(late) if late else 0.0


def error_of(values):
    return statistics.stdev(values) / len(values) ** 0.5 if len(values) > 1 else float("nan")


def describe(name, days, seeds, got):
    worths, prices = [], {}
    print(f"== {name}")
    for day in days:
        plays = [(seed, got(name, day, seed)) for seed in seeds]
        for seed, told in plays:
            if "error" in told:
                print(f"  NOT PLAYED {day} seed {seed}: {told['error']!r}")
            elif told["breaks"] or told["fault"]:
                print(f"  BROKEN {day} seed {seed}: {told['breaks']} {told['fault'] or ''} "
                      f"{told.get('first') or ''}")
        good = [(seed, told) for seed, told in plays if "error" not in told]
        if not good:
            continue
        worths += [told["worth"] for _, told in good]
        lowest, at = min((told["worth"], seed) for seed, told in good)
        parts = ", ".join(f"{part} {statistics.mean(told['parts'][part] for _, told in good):.3f}"
                          for part in good[0][1]["parts"])
        late = statistics.mean(told.get("behind", 0.0) for _, told in good)
        worth = statistics.mean(told["worth"] for _, told in good)
        print(f"  {os.path.basename(day):12} {worth:.3f}  lowest {lowest:.3f} (seed {at})  {parts}, "
              f"last steps {late:.1f} s late")
        for _, told in good:
            for price, part in told["prices"].items():
                prices[price] = prices.get(price, 0) + part
    if worths:
        print(f"  mean {statistics.mean(worths):.4f} +- {error_of(worths):.4f} over {len(worths)} plays")
        told = sorted(((part / len(worths), price) for price, part in prices.items()), reverse=True)
        print("  prices: " + ", ".join(f"{price} {part:.4f}" for part, price in told if part >= LEAST_PRICE))


def differences(first, second, days, seeds, got, figure="worth"):
    found = []
    for day in days:
        for seed in seeds:
            one, two = got(first, day, seed), got(second, day, seed)
            if "error" not in one and "error" not in two:
                found.append(two.get(figure, 0.0) - one.get(figure, 0.0))
    return found


def save(path, known):
    """Keeps the results so far, so that a run that is cut goes on where it was."""
    if not path:
        return
    with open(path + ".new", "w") as file:
        json.dump(known, file)
    os.replace(path + ".new", path)


def plot(path, names, days, seeds, got):
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(2 + 1.5 * len(days), 4))
    for number, name in enumerate(names):
        worths = [[got(name, day, seed).get("worth", 0) for seed in seeds] for day in days]
        places = [place + 0.25 * number for place in range(len(days))]
        means, errors = [statistics.mean(each) for each in worths], [error_of(each) for each in worths]
        axes.errorbar(places, means, errors, fmt="o", label=name)
    axes.set_xticks(range(len(days)), [os.path.basename(day) for day in days])
    axes.set_ylabel("worth")
    axes.legend()
    figure.savefig(path, bbox_inches="tight")


def parse_arguments():
    """Returns the arguments, with paths made absolute and checkouts by name."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("checkouts", nargs="+", metavar="NAME=FOLDER")
    parser.add_argument("--days", default="trouble")
    parser.add_argument("--seeds", default="1-6")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--results")
    parser.add_argument("--plot")
    asked = parser.parse_args()
    asked.bench, asked.site = os.path.abspath(asked.bench), os.path.abspath(asked.site)
    checkouts = {}
    for each in asked.checkouts:
        name, _, folder = each.partition("=")
        if not folder:
            parser.error(f"{each!r} is not NAME=FOLDER")
        checkouts[name] = os.path.abspath(folder)
    asked.checkouts = checkouts
    return asked


def build_all(bench, folders):
    for name, folder in sorted(folders.items()):
        built = subprocess.run([bench, "build"], cwd=folder, capture_output=True, text=True)
        if built.returncode != 0:
            sys.exit(f"{name} does not build:\n{built.stdout}{built.stderr}")


def main():
    asked = parse_arguments()
    bench, site, checkouts = asked.bench, asked.site, asked.checkouts
    days, seeds = parse_days(site, asked.days), parse_seeds(asked.seeds)
    known = {}
    if asked.results and os.path.exists(asked.results):
        known = json.load(open(asked.results))

    def key(name, day, seed):
        size = "|small" if asked.small else ""
        return f"{name}|{os.path.basename(site)}|{os.path.basename(day)}|{seed}{size}"

    due = [(name, day, seed) for day in days for seed in seeds for name in checkouts
           if key(name, day, seed) not in known]
    build_all(bench, {name: checkouts[name] for name, _, _ in due})
    with ThreadPoolExecutor(asked.jobs) as pool:
        told = pool.map(lambda each: play(bench, site, checkouts[each[0]], *each[1:], asked.small), due)
        for each, result in zip(due, told):
            known[key(*each)] = result
            save(asked.results, known)

    def got(name, day, seed):
        return known[key(name, day, seed)]

    names = list(checkouts)
    print(f"{os.path.basename(site)}, seeds {asked.seeds}, no processor time charged")
    for name in names:
        describe(name, days, seeds, got)
    for name in names[1:]:
        found = differences(names[0], name, days, seeds, got)
        if found:
            late = differences(names[0], name, days, seeds, got, "behind")
            print(f"== {name} less {names[0]}: {statistics.mean(found):+.4f} +- {error_of(found):.4f} "
                  f"over {len(found)}, last steps {statistics.mean(late):+.2f} +- {error_of(late):.2f} s")
    if asked.plot:
        plot(asked.plot, names, days, seeds, got)


if __name__ == "__main__":
    main()
