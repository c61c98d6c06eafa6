#!/usr/bin/env python3
"""Checks the structure of the sources.

Decision packages include neither the codec, the front end nor a network library, and each header
declares at most one class at namespace level. Only src/main/main.cc includes `platform/`, and names
from the platform's protocol occur only in that folder.
"""

import pathlib
import re
import sys

DECISION_PACKAGES = {
    "base", "scheduling", "limits", "targets", "jobs", "dispatch", "consensus", "membership", "runs",
    "gateway", "cluster", "stored"}
FORBIDDEN = re.compile(
    r'#include\s+["<]((protocol|frontend|outbound|peers|entryhost|clusterhost)/|nlohmann|websocketpp|asio|boost/asio|'
    r"curl/|microhttpd|sys/socket|netinet|arpa/|valijson|prometheus)")
CLASS = re.compile(r"^(?:class|struct)\s+(?:\w+\s*\([^)]*\)\s*)?(\w+)(?:\s+final)?[^;<]*\{", re.M)


PLATFORM_INCLUDE = re.compile(r'#include\s+"platform/')
# Paths, headers and fields of the platform's protocol.
PLATFORM_NAMES = re.compile(
    r"/sapphirecrank/|Instances\.|Config\.(?:Put|Get)|Expect-Instance|ackedSeq|fenceToken|runId|"
    r"estRuntimeMs|bestEffort|pathPrefix|sloMs")


def check_platform_names(name, text, errors):
    if PLATFORM_INCLUDE.search(text) and str(name) != "src/main/main.cc":
        errors.append(f"{name}: includes platform/")
    for match in PLATFORM_NAMES.finditer(text):
        errors.append(f"{name}: name from the platform's protocol: {match.group(0)}")


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    errors = []
    for path in sorted([*(root / "src").rglob("*.*"), *(root / "platform").rglob("*.*")]):
        if path.suffix not in {".h", ".cc"}:
            continue
        text = path.read_text()
        name = path.relative_to(root)
        if path.parent.name != "platform":
            check_platform_names(name, text, errors)
        if path.parent.name in DECISION_PACKAGES:
            for match in FORBIDDEN.finditer(text):
                errors.append(f"{name}: decision package includes {match.group(1)}")
        if path.suffix == ".h":
            classes = CLASS.findall(text)
            if len(classes) > 1:
                errors.append(f"{name}: more than one class: {', '.join(classes)}")
            if "#pragma once" not in text:
                errors.append(f"{name}: no #pragma once")
    for error in errors:
        print(error)
    return 1 if errors else 0


sys.exit(main())
