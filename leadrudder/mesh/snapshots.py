"""mesh snapshot | verify | restore | repair | core: backups of the control state, its replicas and voters."""

from __future__ import annotations

import http.client
import json
import os
import sys
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from leadrudder.backup import snapshot
from leadrudder.backup.snapshot import Snapshot
from leadrudder.storage.store import DbmStore, DiskError

CALL_TIMEOUT_S = 5.0


def call_api(node: str, path: str, method: str = "GET", body: bytes | None = None) -> Result[bytes, str]:
    """Calls a node's control address, IP:PORT; returns the body, or one line that explains the failure."""
    host, _, port = node.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            body = answer.read()
        finally:
            connection.close()
    except (OSError, ValueError, http.client.HTTPException) as error:
        return Failure(f"{node}: no answer: {error}")
    if answer.status != 200:
        return Failure(f"{node}: {answer.status}: {body.decode(errors='replace').strip()[:1000]}")
    return Success(body)


def _print_error(message: str) -> int:
    print(f"leadrudder: {message}", file=sys.stderr)
    return 2


def save_snapshot(node: str, folder: str, max_kept: int) -> int:
    """Fetches a snapshot, verifies it and saves it.  max_kept: older files are deleted."""
    fetched = call_api(node, "/snapshot")
    if isinstance(fetched, Failure):
        return _print_error(fetched.failure())
    data = fetched.unwrap()
    unpacked = snapshot.unpack(data)
    if isinstance(unpacked, Failure):
        return _print_error(f"{node}: {unpacked.failure()}")
    try:
        path = snapshot.save_snapshot(folder, data, unpacked.unwrap().taken_s, max_kept)
    except OSError as error:
        return _print_error(f"{folder}: {error.strerror}")
    print(f"{path}: {unpacked.unwrap().summary()}")
    return 0


def print_replica_lag(node: str) -> int:
    """Prints what other replicas are missing, as seen by one node.  0: nothing; 1: something is missing."""
    fetched = call_api(node, "/repair")
    if isinstance(fetched, Failure):
        return _print_error(fetched.failure())
    rows = json.loads(fetched.unwrap())
    print(f"{'holder of a seat':<24} {'state':<14} {'items':>8} {'bytes':>10} {'since':>9}")
    for row in rows:
        state = "full" if row["up"] and row["full"] else "empty" if row["up"] else "not connected"
        since = f"{row['since_s']:.1f} s" if row["since_s"] else "-"
        print(f"{row['holder']:<24} {state:<14} {row['items']:>8} {row['bytes']:>10} {since:>9}")
    return 1 if any(row["items"] for row in rows) else 0


def print_voters(node: str, wanted: int | None) -> int:
    """Prints the voter slots.  wanted: sets their number first.  0: all wanted slots are full; 1: not yet."""
    if wanted is not None:
        ordered = call_api(node, f"/core/{wanted}", "POST")
        if isinstance(ordered, Failure):
            return _print_error(ordered.failure())
        print(f"{wanted} seats are wanted; machines without one take them, one after the other")
    fetched = call_api(node, "/core")
    if isinstance(fetched, Failure):
        return _print_error(fetched.failure())
    core = json.loads(fetched.unwrap())
    print(f"{'seat':>4} {'holder':<24} {'state':<14} {'incarnation':>11}  sections")
    for row in core["seats"]:
        owns = " ".join(map(str, row["sections"])) or "-"
        print(
            f"{row['seat']:>4} {row['holder'] or '-':<24} {row['state']:<14} {row['incarnation']:>11}  {owns}"
        )
    states = [row["state"] for row in core["seats"] if row["state"] != "closed"]
    full = states.count("full")
    wanted_slots = core["wanted"] or len(states)
    print(f"{full} of {wanted_slots} seats are full; {core['majority']} decide")
    return 0 if full == wanted_slots == len(states) else 1


def verify_snapshots(paths: Sequence[str]) -> int:
    """Prints the contents of snapshots.  0: all are valid; 1: some are not."""
    invalid = 0
    for path in paths:
        loaded = snapshot.load_snapshot(path)
        if isinstance(loaded, Success):
            print(f"{path}: {loaded.unwrap().summary()}")
        else:
            invalid += 1
            print(loaded.failure())
    return 1 if invalid else 0


def restore_disks(sources: Sequence[str], holders: Sequence[str], into: str) -> int:
    """Writes one data folder for each machine, from the newest items and epochs of all sources."""
    if len(set(holders)) != len(holders) or len(holders) % 2 == 0:
        return _print_error("--holders: an odd number of different addresses is wanted")
    for holder in holders:
        if not holder.rpartition(":")[2].isdecimal() or not holder.rpartition(":")[0]:
            return _print_error(f"--holders: not IP:PORT: {holder!r}")
    contents: list[Snapshot] = []
    for path in sources:
        loaded = snapshot.load_snapshot(path)
        if isinstance(loaded, Failure):
            return _print_error(loaded.failure())
        contents.append(loaded.unwrap())
        print(f"from {path}: {contents[-1].summary()}")
    records = snapshot.restored_records(contents, list(holders))
    for holder in holders:
        folder = os.path.join(into, holder.replace(":", "-"))
        try:
            if os.path.isdir(folder) and os.listdir(folder):
                return _print_error(f"{folder}: is not empty")
            store = DbmStore(folder)
            store.open()
            store.commit(records)
            store.close()
        except (OSError, DiskError) as error:
            return _print_error(f"{folder}: {error}")
        print(f"{folder}: {len(records)} records, for {holder}")
    return 0
