#!/usr/bin/env python3
"""Checks that a build uses only files which the deploy file's packages install on a clean machine.

A developer's machine has more packages than the deploy file lists, so a missing name would show only when the platform
builds the deployment. This script reads which files the finished build used (the compiler's dependency files and the link
lines, as ninja keeps them) and asks dpkg for their packages: each must be a listed package or a dependency of one.

    check_packages.py BUILD_DIR DEPLOY_FILE [--omit NAME]

--omit removes NAME from the list, to show that the check can fail. Exit code 0: complete; 1: packages are missing, with
a line for each; 2: the build names no file to check.
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
    """Absolute paths of the system headers in the dependency files."""
    lines = (line.strip() for line in output_of("ninja", "-C", build, "-t", "deps").splitlines())
    return {line for line in lines if line.startswith(("/usr/", "/lib/", "/opt/"))}


def linked_libraries(build):
    """Libraries in the link lines, by path or by -l."""
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


def possible_paths(file):
    """Paths that dpkg may list the file under: /lib links to /usr/lib, and dpkg keeps the path that the package was built
    with."""
    real = str(Path(file).resolve())
    names = {file, real}
    return names | {name.removeprefix("/usr") for name in names if name.startswith("/usr/lib")}


def owners_of(files):
    """Maps each file to the packages that contain it."""
    asked = sorted({name for file in files for name in possible_paths(file)})
    answer = subprocess.run(["dpkg", "-S", *asked], capture_output=True, text=True, check=False).stdout
    known = defaultdict(set)
    for line in answer.splitlines():
        packages, _, path = line.partition(": ")
        if not line.startswith("diversion "):
            known[path] |= {name.split(":")[0] for name in packages.split(", ")}
    return {file: set().union(*(known[name] for name in possible_paths(file))) for file in files}


def installed_dependencies():
    """Returns the dependencies of each package, the providers of each virtual name, and the essential packages.

    All alternatives of a dependency are listed; those that are installed count.
    """
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
    """All packages on a machine where the listed and the essential packages are installed, with their dependencies."""
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
    for package, uncovered in sorted(missing.items()):
        print(f"not brought by the listed packages: {package} ({len(uncovered)} files, first {min(uncovered)})")
    print(f"{len(files)} files of the system used, {len(listed)} packages listed, {len(missing)} packages missing")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
