#!/usr/bin/env python3
"""Checks that a build uses nothing but what a clean machine gets from the deploy file's packages.

A machine of a developer has more installed than is listed, so a missing name shows only where the build is for the
users. This reads what the finished build has really used (the compiler's dependency files and the link lines, as ninja
keeps them) and asks dpkg whose files these are: each must belong to a listed package or to what those depend on.

    check_packages.py BUILD_DIR DEPLOY_FILE [--omit NAME]

--omit plays a list without NAME, to show that the check can fail. Exit code 0: complete; 1: something is missing, with
a line for each package; 2: the check itself could not be done.
"""

import argparse
import re
import shlex
import subprocess
import sys
import tomllib
from collections import defaultdict
from pathlib import Path


def output_of(*command):
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def used_headers(build):
    """Absolute paths of the headers in the dependency files that are not the project's own."""
    lines = (line.strip() for line in output_of("ninja", "-C", build, "-t", "deps").splitlines())
    return {line for line in lines if line.startswith(("/usr/", "/lib/", "/opt/"))}


def linked_libraries(build):
    """Files that the link lines name, in full or by -l."""
    files = set()
    for command in output_of("ninja", "-C", build, "-t", "commands").splitlines():
        if " -c " in command:
            continue
        for word in shlex.split(command):
            if word.startswith("/usr/") and re.search(r"\.(so|a)(\.[0-9.]+)?$", word):
                files.add(word)
            elif re.fullmatch(r"-l\w[\w+.-]*", word):
                found = output_of("g++", f"-print-file-name=lib{word[2:]}.so").strip()
                files.add(found)
    return {file for file in files if file.startswith("/")}


def spellings(file):
    """A path as dpkg may know it: /lib is a link to /usr/lib, and dpkg keeps the name of the package's time."""
    real = str(Path(file).resolve())
    names = {file, real}
    return names | {name.removeprefix("/usr") for name in names if name.startswith("/usr/lib")}


def owners_of(files):
    """By file, the packages that have it."""
    asked = sorted({name for file in files for name in spellings(file)})
    answer = subprocess.run(["dpkg", "-S", *asked], capture_output=True, text=True, check=False).stdout
    known = defaultdict(set)
    for line in answer.splitlines():
        packages, _, path = line.partition(": ")
        if not line.startswith("diversion "):
            known[path] |= {name.split(":")[0] for name in packages.split(", ")}
    return {file: set().union(*(known[name] for name in spellings(file))) for file in files}


def installed_dependencies():
    """By package or virtual name, the names that it depends on; any alternative counts if it is installed."""
    needs, provides = {}, defaultdict(set)
    fields = "${Package}\t${Depends}, ${Pre-Depends}\t${Provides}\t${Essential}\n"
    essential = set()
    for line in output_of("dpkg-query", "-W", "-f", fields).splitlines():
        name, depends, virtual, is_essential = line.split("\t")
        needs[name] = {re.split(r"[ :(]", one.strip())[0] for one in re.split(r"[,|]", depends) if one.strip()}
        for one in filter(None, (part.strip() for part in virtual.split(","))):
            provides[one.split(" ")[0]].add(name)
        if is_essential == "yes":
            essential.add(name)
    return needs, provides, essential


def closure_of(listed):
    """All packages that a machine has for certain once the listed ones are installed."""
    needs, provides, essential = installed_dependencies()
    unknown = [name for name in listed if name not in needs]
    if unknown:
        sys.exit(f"listed but not installed: {', '.join(unknown)}")
    closure, waiting = set(), [*listed, *essential]
    while waiting:
        name = waiting.pop()
        if name not in closure:
            closure.add(name)
            waiting.extend(needs.get(name, ()))
            waiting.extend(provides.get(name, ()))
    return closure


def main():
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("build")
    options.add_argument("deploy_file")
    options.add_argument("--omit", metavar="NAME")
    asked = options.parse_args()
    listed = tomllib.loads(Path(asked.deploy_file).read_text())["packages"]
    files = used_headers(asked.build) | linked_libraries(asked.build)
    if not files:
        print("the build names no file of the system: nothing was checked", file=sys.stderr)
        return 2
    closure = closure_of([name for name in listed if name != asked.omit])
    missing = defaultdict(list)
    for file, owners in owners_of(files).items():
        if not owners & closure:
            missing[", ".join(sorted(owners)) or "no package"].append(file)
    for package, lacking in sorted(missing.items()):
        print(f"not brought by the listed packages: {package} ({len(lacking)} files, first {min(lacking)})")
    print(f"{len(files)} files of the system used, {len(listed)} packages listed, {len(missing)} packages missing")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
