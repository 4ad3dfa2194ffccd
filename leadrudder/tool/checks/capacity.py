"""Shares of tenants, and the limits of a machine."""

from __future__ import annotations

import math
from collections.abc import Iterator

from leadrudder.tool.checks.finding import Finding
from leadrudder.tool.model import File

BASE_MEMORY_MB = 20  # of an idle node, with room for the growth of its interpreter
# Of a node's descriptors, as the node divides them between callers and servers.
CALLER_DESCRIPTOR_FRACTION, SERVER_DESCRIPTOR_FRACTION = 0.4, 0.45
BODY_MEMORY_FRACTION = 0.25  # of a node's memory, for the bodies of open requests


def tenant_shares_sum_to_one(file: File) -> Iterator[Finding]:
    total = math.fsum(tenant.share for tenant in file.tenant)
    if file.tenant and abs(total - 1.0) > 1e-6:
        yield Finding(
            ("tenant", 0, "share"),
            "shares-sum",
            f"the shares of all tenants add up to {total:g}.",
            "Some tenant gets less or more than promised.",
            "shares that add up to 1",
        )


def descriptors_are_sufficient(file: File) -> Iterator[Finding]:
    limits = file.limits
    callers = int(CALLER_DESCRIPTOR_FRACTION * limits.descriptors)
    if callers < limits.open_requests:
        required = math.ceil(limits.open_requests / CALLER_DESCRIPTOR_FRACTION)
        yield Finding(
            ("limits", "descriptors"),
            "descriptors-few",
            f"{limits.descriptors} descriptors leave {callers} for callers, but {limits.open_requests} requests must be open at once.",
            "Callers' connections are refused while the servers are idle.",
            f"at least {required}, or fewer open_requests",
        )


def memory_is_sufficient(file: File) -> Iterator[Finding]:
    limits = file.limits
    bodies = limits.open_requests * limits.body_kb / 1000
    if bodies > BODY_MEMORY_FRACTION * limits.memory_mb or limits.memory_mb < BASE_MEMORY_MB + bodies:
        required = math.ceil(max(bodies / BODY_MEMORY_FRACTION, BASE_MEMORY_MB + bodies))
        yield Finding(
            ("limits", "memory_mb"),
            "memory-little",
            f"{limits.open_requests} requests of {limits.body_kb} KB hold {bodies:.0f} MB, but a node of"
            f" {limits.memory_mb} MB has {BODY_MEMORY_FRACTION * limits.memory_mb:.0f} MB for bodies.",
            "Requests are refused for lack of memory, or the node is killed for exceeding it.",
            f"at least {required}, or fewer or smaller requests",
        )
