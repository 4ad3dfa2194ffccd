"""Consistency checks beyond types: one function for each kind of mistake.

Each takes a whole file and yields findings; `check_across_files` finds mistakes between files. A finding
says why the mistake matters in service, so that an operator on call can decide whether it does.
"""

from __future__ import annotations

from leadrudder.tool.checks.across_files import check_across_files
from leadrudder.tool.checks.addresses import (
    addresses_are_valid,
    listeners_are_permitted,
    ports_are_unique,
    routes_are_reachable,
)
from leadrudder.tool.checks.capacity import (
    descriptors_are_sufficient,
    memory_is_sufficient,
    tenant_shares_sum_to_one,
)
from leadrudder.tool.checks.finding import Check, Finding
from leadrudder.tool.checks.names import (
    names_are_known,
    names_are_unique,
)
from leadrudder.tool.checks.repeats import (
    attempts_stay_within_repeat_factor,
    copies_have_attempts,
    groups_match_tiers,
    keyed_classes_are_complete,
    methods_match_effects,
    repeats_agree_within_class,
    tiers_form_no_cycle,
    unsafe_is_not_repeated,
    windows_outlast_attempts,
)
from leadrudder.tool.checks.times import (
    aims_are_within_deadlines,
    deadlines_do_not_grow_inwards,
)

__all__ = ["CHECKS", "Finding", "check_across_files"]

CHECKS: tuple[Check, ...] = (
    names_are_unique,
    names_are_known,
    unsafe_is_not_repeated,
    repeats_agree_within_class,
    methods_match_effects,
    keyed_classes_are_complete,
    windows_outlast_attempts,
    groups_match_tiers,
    copies_have_attempts,
    attempts_stay_within_repeat_factor,
    tiers_form_no_cycle,
    deadlines_do_not_grow_inwards,
    aims_are_within_deadlines,
    addresses_are_valid,
    listeners_are_permitted,
    ports_are_unique,
    routes_are_reachable,
    tenant_shares_sum_to_one,
    descriptors_are_sufficient,
    memory_is_sufficient,
)
