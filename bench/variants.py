#!/usr/bin/env python3
"""Makes variants of a site file in a scratch folder and hunts on each.

  bench/variants.py BENCH SITE FOLDER DAYS [NAME...]

BENCH is the path of the bench program, SITE a site file, FOLDER where the
variants go. Site files stay where they are; only the changes stand here.
"""
import os
import re
import shutil
import subprocess
import sys

STREAM = """  { name = "chat", aim_ms = 400, deadline_ms = 12000, worth = 1, late_worth = 0.3, priority = 0, retries = 1, \
service = "%s", method = "POST", kind = "stream", timeout_ms = 10000, attempts = 3, things = 500, skew = 0.1, \
req_bytes = { mean = 600.0, spread = 0.0, tail = 0.0, tail_x = 1.0, max = 3600.0 }, stream = { pieces = { mean = 18.0, \
spread = 0.9, max = 130.0, tail = 0.08, tail_x = 5.0 }, piece_bytes = { mean = 260.0, spread = 0.0, tail = 0.0, \
tail_x = 1.0, max = 1500.0 }, gap_aim_ms = 120.0, resume = %s, prompt_tokens = { mean = 16.0, spread = 0.0, max = 64.0 }, \
chain = [{ tokens = { mean = 255.0, spread = 0.4, max = 638.0 }, things = 500 }], token_bytes = 1.0, only = [0], hint = 0.5 } },
"""


def swap(pattern, replacement):
    return lambda text: re.sub(pattern, replacement, text)


def unsafe(text):
    """The clients' plain requests run at most once."""
    plain = r'(\{ name = "[\w-]+"), (aim_ms = [\d.]+, deadline_ms = [\d.]+, worth = 0\.2)'
    return re.sub(plain, r'\1, kind = "unsafe", \2', text)


def streams(resumable):
    """Clients also ask for streams of the model replicas."""

    def mixed(m):
        return "mix = { %s = %s, chat = %s }, per_s = %.2f" % (m[1], m[2], m[2], 2 * float(m[3]))

    def change(text):
        service = re.search(r'service = "([\w-]+)", method = "POST", kind = "rollout"', text)[1]
        entry = STREAM % (service, "true" if resumable else "false")
        text = text.replace("classes = [\n", "classes = [\n" + entry, 1)
        return re.sub(r"mix = \{ ([\w-]+) = ([\d.]+) \}, per_s = ([\d.]+)", mixed, text)

    return change


VARIANTS = {
    "unsafe": unsafe,
    "stream": streams(True),
    "stream-once": streams(False),
    "one-version": swap("pure = false", "pure = true"),
    "no-lag": swap("lag = 2", "lag = 1"),
    "lag-three": swap("lag = 2", "lag = 3"),
    "ahead": swap("ahead = 1", "ahead = 2"),
    "slow-weights": swap("warm_s = 0.9", "warm_s = 2.0"),
    "two-cores": swap("cores = 1,", "cores = 2,"),
    "tight-memory": swap(r"memory_mb = \d+", "memory_mb = 96"),
    "slow-links": swap("link_mbps = 1000.0", "link_mbps = 30.0"),
    "slow-store": swap("append_ms = 4.0", "append_ms = 15.0"),
    "two-parts": swap("parts = 8", "parts = 2"),
    "scarce-store": lambda text: re.sub(
        r"writes_per_s = 800.0", "writes_per_s = 120.0",
        re.sub(r"reads_per_s = 2000.0", "reads_per_s = 300.0", text)),
    "one-machine-a-zone": swap(r'(class = "front".*?count = )\d+', r"\g<1>1"),
    "small-replicas": lambda text: re.sub(r"kv_tokens = \d+", "kv_tokens = 24000", text),
    "wide": swap("cross_zone_ms = [\\d.]+", "cross_zone_ms = 8.0"),
    "fenced": swap("fenced = false", "fenced = true"),
    "strict-keys": swap("closed = false", "closed = true"),
    "one-tenant": swap(r"(\[tenants\]\ncount = )\d+", r"\g<1>1"),
    "many-tenants": swap(r"(\[tenants\]\ncount = )\d+", r"\g<1>2000"),
    "few-engines": swap(
        r'servers = \[\{ zone = "bern-a", count = 12 \}, \{ zone = "bern-b", count = 12 \}, '
        r'\{ zone = "solothurn", count = 11 \}\]',
        'servers = [{ zone = "bern-a", count = 4 }, { zone = "bern-b", count = 4 }, '
        '{ zone = "solothurn", count = 3 }]'),
    "slow-boot": swap("boot_s = 4.0", "boot_s = 12.0"),
    "tight-bounds": lambda text: text.replace("drain_ms = 2000", "drain_ms = 1200")
                                     .replace("config_ms = 2000", "config_ms = 1200"),
}


def main():
    bench, site, folder, days = sys.argv[1:5]
    chosen = sys.argv[5:] or list(VARIANTS)
    os.makedirs(folder, exist_ok=True)
    shutil.copy(os.path.join(os.path.dirname(site), "wire.json"), folder)
    source = open(site).read()
    for name in chosen:
        text = VARIANTS[name](source)
        if text == source:
            print(f"{name}: changes nothing on this site")
            continue
        base = re.search(r'^name = "([\w-]+)"', source, re.M)[1]
        text = text.replace(f'name = "{base}"', f'name = "{base}-{name}"', 1)
        path = os.path.join(folder, f"{base}-{name}.toml")
        open(path, "w").write(text)
        command = [bench, "hunt", path, "--days", days, "--why", f"variant {name}"]
        played = subprocess.run(command, capture_output=True, text=True)
        output = played.stdout + played.stderr
        open(path + ".txt", "w").write(output)
        rows = re.findall(r"^\S.*?\s\d+/\d+\s+([\d.]+)\s+([\d.]+)\s", output, re.M)
        worths = [float(row[1]) for row in rows]
        broken = re.findall(r"^(\S+(?: --seed \d+)?) .*BROKEN: (.*)$", output, re.M)
        if not worths:
            print(f"{name}: not played: {output[-400:]}")
            continue
        print(f"{name}: {len(worths)} days, mean worth {sum(worths) / len(worths):.3f}, "
              f"lowest {min(worths):.3f}, broken: {broken or 'none'}", flush=True)


if __name__ == "__main__":
    main()
