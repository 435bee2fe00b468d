#!/usr/bin/env python3
"""Runs clang-tidy on all sources with the compile commands of a build folder.

A clean file is skipped as long as the file, its includes, the compiler options and the checks are unchanged.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "hickorywood-lint"


def run(command, **options):
    return subprocess.run(command, capture_output=True, check=False, **options)


def key_of(entry, common):
    """Returns a hash of everything that determines the result of clang-tidy for a file. It includes comments,
    because they can suppress a check."""
    command = shlex.split(entry["command"])
    output = command.index("-o")
    del command[output : output + 2]
    text = run(command + ["-E", "-C", "-P"], cwd=entry["directory"])
    options = [item.replace(os.getcwd(), "") for item in command]
    digest = hashlib.sha256(common + " ".join(options).encode())
    digest.update(text.stdout)
    return digest.hexdigest() if text.returncode == 0 else None


def lint(entry, build, common):
    """Returns the output of clang-tidy; empty if the file is clean."""
    key = key_of(entry, common)
    if key and (CACHE / key).exists():
        return ""
    result = run(["clang-tidy", "-p", build, "--quiet", entry["file"]], text=True)
    if result.returncode != 0:
        return result.stdout + result.stderr
    if key:
        (CACHE / key).touch()
    return ""


def main():
    os.chdir(pathlib.Path(__file__).resolve().parent.parent)
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    CACHE.mkdir(parents=True, exist_ok=True)
    tracked = set(run(["git", "ls-files", "*.cc"], text=True).stdout.split())
    entries = json.loads(pathlib.Path(build, "compile_commands.json").read_text())
    sources = {os.path.relpath(entry["file"]): entry for entry in entries}
    missing = sorted(tracked - sources.keys())
    common = pathlib.Path(".clang-tidy").read_bytes() + run(["clang-tidy", "--version"]).stdout
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for output in pool.map(lambda name: lint(sources[name], build, common), sorted(tracked - set(missing))):
            failed += bool(output)
            print(output, end="", flush=True)
    for name in missing:
        print(f"{name}: not compiled, so not checked")
    return 1 if failed or missing else 0


if __name__ == "__main__":
    sys.exit(main())
