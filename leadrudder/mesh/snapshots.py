"""mesh snapshot | verify | restore | repair | core: the control state kept, looked at and begun anew."""

from __future__ import annotations

import http.client
import json
import os
import sys
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from leadrudder.backup import snapshot
from leadrudder.backup.snapshot import Snapshot
from leadrudder.storage.store import DiskError, DumbStore

CALL_S = 5.0


def fetch(node: str, path: str, method: str = "GET", body: bytes | None = None) -> Result[bytes, str]:
    """A node's answer, IP:PORT of its control address; else one line why there is none."""
    host, _, port = node.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_S)
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


def _fail(why: str) -> int:
    print(f"leadrudder: {why}", file=sys.stderr)
    return 2


def take(node: str, folder: str, most: int) -> int:
    """Fetch a snapshot, look at it, and keep it."""
    fetched = fetch(node, "/snapshot")
    if isinstance(fetched, Failure):
        return _fail(fetched.failure())
    data = fetched.unwrap()
    held = snapshot.unpack(data)
    if isinstance(held, Failure):
        return _fail(f"{node}: {held.failure()}")
    try:
        path = snapshot.save_snapshot(folder, data, held.unwrap().taken_s, most)
    except OSError as error:
        return _fail(f"{folder}: {error.strerror}")
    print(f"{path}: {held.unwrap().summary()}")
    return 0


def repair(node: str) -> int:
    """A table of what others miss, as a signalbox sees it.  0: nothing is owed; 1: something is."""
    fetched = fetch(node, "/repair")
    if isinstance(fetched, Failure):
        return _fail(fetched.failure())
    rows = json.loads(fetched.unwrap())
    print(f"{'holder of a seat':<24} {'state':<14} {'items':>8} {'bytes':>10} {'since':>9}")
    for row in rows:
        state = "full" if row["up"] and row["full"] else "empty" if row["up"] else "not connected"
        since = f"{row['since_s']:.1f} s" if row["since_s"] else "-"
        print(f"{row['holder']:<24} {state:<14} {row['items']:>8} {row['bytes']:>10} {since:>9}")
    return 1 if any(row["items"] for row in rows) else 0


def core(node: str, wanted: int | None) -> int:
    """A table of seats; wanted: have so many of them first.  0: as many as wanted, all full; 1: not yet."""
    if wanted is not None:
        ordered = fetch(node, f"/core/{wanted}", "POST")
        if isinstance(ordered, Failure):
            return _fail(ordered.failure())
        print(f"{wanted} seats are wanted; machines without one take them, one after the other")
    fetched = fetch(node, "/core")
    if isinstance(fetched, Failure):
        return _fail(fetched.failure())
    told = json.loads(fetched.unwrap())
    print(f"{'seat':>4} {'holder':<24} {'state':<14} {'incarnation':>11}  sections")
    for row in told["seats"]:
        owns = " ".join(map(str, row["sections"])) or "-"
        print(
            f"{row['seat']:>4} {row['holder'] or '-':<24} {row['state']:<14} {row['incarnation']:>11}  {owns}"
        )
    states = [row["state"] for row in told["seats"] if row["state"] != "closed"]
    full = states.count("full")
    wants = told["wanted"] or len(states)
    print(f"{full} of {wants} seats are full; {told['majority']} decide")
    return 0 if full == wants == len(states) else 1


def verify(paths: Sequence[str]) -> int:
    """0: all can be used; 1: some cannot."""
    wrong = 0
    for path in paths:
        held = snapshot.load_snapshot(path)
        if isinstance(held, Success):
            print(f"{path}: {held.unwrap().summary()}")
        else:
            wrong += 1
            print(held.failure())
    return 1 if wrong else 0


def restore(sources: Sequence[str], holders: Sequence[str], into: str) -> int:
    """Write one folder a machine, of the newest that the sources hold."""
    if len(set(holders)) != len(holders) or len(holders) % 2 == 0:
        return _fail("--holders: an odd number of different addresses is wanted")
    for holder in holders:
        if not holder.rpartition(":")[2].isdecimal() or not holder.rpartition(":")[0]:
            return _fail(f"--holders: not IP:PORT: {holder!r}")
    held: list[Snapshot] = []
    for path in sources:
        loaded = snapshot.load_snapshot(path)
        if isinstance(loaded, Failure):
            return _fail(loaded.failure())
        held.append(loaded.unwrap())
        print(f"from {path}: {held[-1].summary()}")
    records = snapshot.restored_records(held, list(holders))
    for holder in holders:
        folder = os.path.join(into, holder.replace(":", "-"))
        try:
            if os.path.isdir(folder) and os.listdir(folder):
                return _fail(f"{folder}: is not empty")
            store = DumbStore(folder)
            store.open()
            store.commit(records)
            store.close()
        except (OSError, DiskError) as error:
            return _fail(f"{folder}: {error}")
        print(f"{folder}: {len(records)} records, for {holder}")
    return 0
