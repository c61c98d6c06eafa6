#!/usr/bin/env python3
"""Runs clang-tidy on a source file unless the same input passed before: tidy.py FOLDER SOURCE

FOLDER is a build folder. The cache key is the hash of the preprocessed file, the project's headers
that the file includes directly, the configuration and this script, so that an unchanged file costs
only one preprocessor run.
"""

import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys


def main():
    build, source = sys.argv[1], os.path.abspath(sys.argv[2])
    entries = json.loads(pathlib.Path(build, "compile_commands.json").read_text())
    entry = next((e for e in entries if e["file"] == source), None)
    if entry is None:
        print(f"{source}: not listed in compile_commands.json")
        return 1
    command = [word for word in shlex.split(entry["command"]) if not word.endswith("ccache")]
    output = command.index("-o")
    command = command[:output] + command[output + 2:]
    command[command.index("-c")] = "-E"
    preprocessed = subprocess.run(command + ["-P"], capture_output=True, cwd=entry["directory"])
    if preprocessed.returncode != 0:
        sys.stderr.buffer.write(preprocessed.stderr)
        return 1
    text = preprocessed.stdout
    for name in re.findall(rb'#include "([^"]+)"', pathlib.Path(source).read_bytes()):
        for folder in (b"src/", b""):
            if os.path.exists(folder + name):
                text += pathlib.Path((folder + name).decode()).read_bytes()
    key = hashlib.sha256(
        text + pathlib.Path(source).read_bytes() + pathlib.Path(".clang-tidy").read_bytes() +
        pathlib.Path(__file__).read_bytes()).hexdigest()
    cache = pathlib.Path(os.path.expanduser("~/.cache/sapphirecrank-tidy"))
    if (cache / key).exists():
        return 0
    run = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", "--extra-arg=-Wthread-safety",
         "--extra-arg=-Wno-unknown-warning-option", source],
        capture_output=True, text=True)
    if run.returncode != 0:
        print(run.stdout)
        return 1
    cache.mkdir(parents=True, exist_ok=True)
    (cache / key).touch()
    return 0


sys.exit(main())
