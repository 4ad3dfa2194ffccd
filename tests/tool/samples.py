"""Operators' files for the tests: good ones, and good ones with one mistake each."""

from __future__ import annotations

from dataclasses import dataclass

from leadrudder.tool.template import new_file_text

BASE = new_file_text("a.toml", "kampaamo", "palvelu", "127.0.0.1:8100", "127.0.0.1:8500")
SECOND_TIER = """
[[tier]]
name = "tallennus"
discovery = "127.0.0.1:8501"
behind = "palvelu"
attempts = 2
deadline_ms = 2000
"""
TENANTS = """
[[tenant]]
name = "oma"
share = 0.7
[[tenant]]
name = "muut"
share = 0.3
"""

LEAST = """\
version = 1
application = {name = "pieni"}
tier = [{name = "t", discovery = "127.0.0.1:1"}]
listener = [{name = "l", address = "127.0.0.1:2", tier = "t"}]
class = [{name = "c", aim_ms = 1, deadline_ms = 1}]
route = [{method = "POST", path = "/", listener = "l", class = "c"}]
"""

GOOD: dict[str, str] = {
    "as init writes it": BASE,
    "the least there can be": LEAST,
    "with windows' line ends": BASE.replace("\n", "\r\n"),
    "with tenants": BASE + TENANTS,
    "with a tier behind": BASE + SECOND_TIER,
    "with a listener at every address, permitted": BASE.replace("127.0.0.1:8100", "0.0.0.0:8100")
    + '[limits]\npermitted = ["0.0.0.0/0"]\n',
    "with a listener on IPv6": BASE.replace("127.0.0.1:8100", "[::1]:8100")
    + '[limits]\npermitted = ["::1/128"]\n',
    "with repeat inherited where it is harmless": BASE.replace(
        'class = "siirto"\nrepeat = true', 'class = "siirto"'
    ).replace(
        'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"',
        'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"\nrepeat = false',
    )
    + "[defaults]\nrepeat = true\n",
    "with a class that says nothing of its effect": BASE.replace('effect = "unsafe"\n', ""),
    "with a keyed class of a zone": BASE.replace('drops_repeats = "all" ', 'drops_repeats = "zone"').replace(
        'group = "all"', 'group = "zone"'
    ),
    "with two listeners of one tier": BASE
    + '[[listener]]\nname = "tausta"\naddress = "127.0.0.1:8101"\ntier = "palvelu"\n',
    "with quoted and dotted keys": LEAST.replace(
        'application = {name = "pieni"}', '"application".name = "pieni"'
    ),
    "with names beyond ASCII in its comments": "# Hämeenlinnan kampaamo – ajanvaraus\n" + BASE,
}


@dataclass(frozen=True)
class Broken:
    """A mistake: what of BASE is replaced or added, and what must be told of it."""

    name: str
    rule: str
    field: str
    says: str
    old: str = ""
    new: str = ""
    more: str = ""

    @property
    def text(self) -> str:
        assert not self.old or self.old in BASE, self.old
        return (BASE.replace(self.old, self.new, 1) if self.old else BASE) + self.more


def _b(name: str, rule: str, field: str, says: str, old: str = "", new: str = "", more: str = "") -> Broken:
    return Broken(name, rule, field, says, old, new, more)


VARAUS = 'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"\n'
SIIRTO = 'group = "all"\nwindow_ms = 7500\n'

BROKEN = [
    # what may be repeated
    _b(
        "varaus may be repeated",
        "unsafe-repeated",
        "route[1].repeat",
        "of the unsafe class 'varaus' may be repeated.",
        VARAUS,
        VARAUS + "repeat = true\n",
    ),
    _b(
        "varaus inherits a repeat",
        "unsafe-repeated",
        "defaults.repeat",
        "inherits it from [defaults]",
        more="[defaults]\nrepeat = true\n",
    ),
    _b(
        "a class without an effect is repeated",
        "unsafe-repeated",
        "route[4].repeat",
        "unsafe class 'uusi'",
        more='[[class]]\nname = "uusi"\naim_ms = 1\ndeadline_ms = 2\n'
        '[[route]]\nmethod = "POST"\npath = "/uusi"\nlistener = "front"\nclass = "uusi"\nrepeat = true\n',
    ),
    _b(
        "keyed without a group",
        "keyed-without-group",
        "class[2].name",
        "does not set its group",
        'group = "all"\n',
        "",
    ),
    _b(
        "keyed without a window",
        "keyed-without-window",
        "class[2].name",
        "does not set its window_ms",
        "window_ms = 7500\n",
        "",
    ),
    _b(
        "a window that ends before the deadline",
        "window-too-short",
        "class[2].window_ms",
        "(3000 ms) ends before its deadline (5000 ms)",
        "window_ms = 7500\n",
        "window_ms = 3000\n",
    ),
    _b(
        "a window longer than the servers' memory",
        "window-too-long",
        "class[2].window_ms",
        "remembers keys for 7500 ms",
        "window_ms = 7500\n",
        "window_ms = 9000\n",
    ),
    _b(
        "a group wider than repeats are dropped",
        "group-too-wide",
        "class[2].group",
        "drops repeats within 'cell'",
        'drops_repeats = "all" ',
        'drops_repeats = "cell"',
    ),
    _b(
        "a group where nobody drops repeats",
        "group-too-wide",
        "class[2].group",
        "drops repeats within 'none'",
        'drops_repeats = "all" ',
        'drops_repeats = "none"',
    ),
    _b(
        "a window of an unsafe class",
        "key-unused",
        "class[1].window_ms",
        "is unsafe and has a window_ms",
        'effect = "unsafe"\n',
        'effect = "unsafe"\nwindow_ms = 10\n',
    ),
    _b(
        "a group of a safe class",
        "key-unused",
        "class[3].group",
        "is safe and has a group",
        'effect = "safe"\n',
        'effect = "safe"\ngroup = "all"\n',
    ),
    _b(
        "GET for a booking",
        "method-misfit",
        "route[1].method",
        "GET /varaus/* is of class 'varaus'",
        'method = "POST"\npath = "/varaus/*"',
        'method = "GET"\npath = "/varaus/*"',
    ),
    _b(
        "POST for a look-up",
        "method-misfit",
        "route[3].method",
        "which is safe",
        'method = "GET"',
        'method = "POST"',
    ),
    _b(
        "one class, two answers",
        "repeat-mixed",
        "route[4].repeat",
        "by only one of the routes 2 and 4",
        more='[[route]]\nmethod = "POST"\npath = "/muutos"\nlistener = "front"\nclass = "siirto"\n',
    ),
    _b(
        "copies without a second attempt",
        "copies-without-attempts",
        "tier[1].copies",
        "allows copies but makes one attempt",
        "attempts = 2  ",
        "copies = true\nattempts = 1  ",
    ),
    _b(
        "attempts that multiply",
        "attempts-multiply",
        "tier[2].attempts",
        "6 times (2 x 3)",
        more=SECOND_TIER.replace("attempts = 2", "attempts = 3"),
    ),
    _b(
        "attempts that multiply by inheritance",
        "attempts-multiply",
        "defaults.attempts",
        "10 times (2 x 5)",
        more=SECOND_TIER.replace("attempts = 2\n", "") + "[defaults]\nattempts = 5\n",
    ),
    # names
    _b(
        "a tier there twice",
        "name-taken",
        "tier[2].name",
        "tier 'palvelu' is defined twice",
        more='[[tier]]\nname = "palvelu"\ndiscovery = "127.0.0.1:8501"\ndrops_repeats = "all"\ndrops_repeats_ms = 7500\n',
    ),
    _b(
        "a class there twice",
        "name-taken",
        "class[4].name",
        "class 'haku' is defined twice",
        more='[[class]]\nname = "haku"\neffect = "safe"\naim_ms = 1\ndeadline_ms = 2\n',
    ),
    _b(
        "a listener before no tier",
        "tier-unknown",
        "listener[1].tier",
        "there is no tier 'palvelin'",
        'tier = "palvelu"',
        'tier = "palvelin"',
    ),
    _b(
        "a tier behind no tier",
        "tier-unknown",
        "tier[2].behind",
        "there is no tier 'api'",
        more=SECOND_TIER.replace('behind = "palvelu"', 'behind = "api"'),
    ),
    _b(
        "a route to no listener",
        "listener-unknown",
        "route[1].listener",
        "there is no listener 'etu'",
        VARAUS,
        VARAUS.replace('"front"', '"etu"'),
    ),
    _b(
        "a route to no class",
        "class-unknown",
        "route[1].class",
        "there is no class 'varaukset'",
        VARAUS,
        VARAUS.replace('"varaus"', '"varaukset"'),
    ),
    _b(
        "a name with a space",
        "type",
        "application.name",
        "String should match pattern",
        'name = "kampaamo"',
        'name = "oma kampaamo"',
    ),
    # times
    _b(
        "an aim after the deadline",
        "aim-after-deadline",
        "class[1].aim_ms",
        "has an aim of 9000 ms but a deadline of 4000 ms",
        "aim_ms = 1500",
        "aim_ms = 9000",
    ),
    _b(
        "a deadline that grows inwards",
        "deadline-grows",
        "tier[2].deadline_ms",
        "for up to 2000 ms, but tier 'palvelu' before it waits only 500 ms",
        "attempts = 2  ",
        "deadline_ms = 500\nattempts = 2  ",
        SECOND_TIER,
    ),
    _b(
        "a deadline of nothing",
        "type",
        "class[1].deadline_ms",
        "Input should be greater than 0",
        "deadline_ms = 4000",
        "deadline_ms = 0",
    ),
    _b(
        "an aim that is no number",
        "type",
        "class[1].aim_ms",
        "finite number",
        "aim_ms = 1500",
        "aim_ms = nan",
    ),
    _b(
        "a deadline in words",
        "type",
        "class[1].deadline_ms",
        "valid number",
        "deadline_ms = 4000",
        'deadline_ms = "4 s"',
    ),
    _b(
        "a worth below nothing",
        "type",
        "class[1].worth",
        "greater than or equal to 0",
        "worth = 9",
        "worth = -9",
    ),
    _b(
        "a true that is text",
        "type",
        "route[2].repeat",
        "valid boolean",
        '"siirto"\nrepeat = true',
        '"siirto"\nrepeat = "true"',
    ),
    # addresses and routes
    _b(
        "two listeners on one port",
        "port-taken",
        "listener[2].address",
        "taken by listener 'front'",
        more='[[listener]]\nname = "toinen"\naddress = "127.0.0.1:8100"\ntier = "palvelu"\n',
    ),
    _b(
        "0.0.0.0 against one address",
        "port-taken",
        "listener[2].address",
        "0.0.0.0:8100 is taken by listener 'front' (127.0.0.1:8100)",
        more='[limits]\npermitted = ["0.0.0.0/0"]\n[[listener]]\nname = "toinen"\naddress = "0.0.0.0:8100"\ntier = "palvelu"\n',
    ),
    _b(
        "a listener where its own tier's discovery is asked",
        "port-taken",
        "listener[2].address",
        "127.0.0.1:8500 is taken by discovery of tier 'palvelu'",
        more='[[listener]]\nname = "toinen"\naddress = "127.0.0.1:8500"\ntier = "palvelu"\n',
    ),
    _b(
        "a listener on all addresses where discovery is asked",
        "port-taken",
        "listener[2].address",
        "0.0.0.0:8500 is taken by discovery of tier 'palvelu'",
        more='[limits]\npermitted = ["0.0.0.0/0"]\n[[listener]]\nname = "toinen"\naddress = "0.0.0.0:8500"\ntier = "palvelu"\n',
    ),
    _b(
        "a listener for the whole world",
        "listener-not-permitted",
        "listener[1].address",
        "0.0.0.0:8100 is in none of 127.0.0.0/8",
        'address = "127.0.0.1:8100"',
        'address = "0.0.0.0:8100"',
    ),
    _b(
        "a name for an address",
        "address-name",
        "listener[1].address",
        "'localhost' is not an IP address",
        'address = "127.0.0.1:8100"',
        'address = "localhost:8100"',
    ),
    _b(
        "a name for discovery",
        "address-name",
        "tier[1].discovery",
        "'luettelo' is not an IP address",
        'discovery = "127.0.0.1:8500"',
        'discovery = "luettelo:8500"',
    ),
    _b(
        "a port that does not exist",
        "port-range",
        "listener[1].address",
        "port 81000 does not exist",
        'address = "127.0.0.1:8100"',
        'address = "127.0.0.1:81000"',
    ),
    _b(
        "an address without a port",
        "type",
        "listener[1].address",
        "String should match pattern",
        'address = "127.0.0.1:8100"',
        'address = "127.0.0.1"',
    ),
    _b(
        "a network that is none",
        "network-malformed",
        "limits.permitted[2]",
        "'everywhere' is not a network",
        more='[limits]\npermitted = ["127.0.0.0/8", "everywhere"]\n',
    ),
    _b(
        "a route that is never reached",
        "route-shadowed",
        "route[4].path",
        "route 3 (/*) matches first",
        more='[[route]]\nmethod = "GET"\npath = "/haku"\nlistener = "front"\nclass = "haku"\nrepeat = true\n',
    ),
    _b(
        "a route there twice",
        "route-shadowed",
        "route[4].path",
        "route 1 (/varaus/*) matches first",
        more='[[route]]\nmethod = "POST"\npath = "/varaus/*"\nlistener = "front"\nclass = "varaus"\n',
    ),
    _b(
        "a star in the middle",
        "path-star",
        "route[1].path",
        "has a star that is not at its end",
        'path = "/varaus/*"',
        'path = "/*/varaus"',
    ),
    _b(
        "a path without its slash",
        "type",
        "route[1].path",
        "String should match pattern",
        'path = "/varaus/*"',
        'path = "varaus/*"',
    ),
    _b(
        "a method that nodes do not take",
        "type",
        "route[1].method",
        "'GET' or 'POST'",
        'method = "POST"',
        'method = "PUT"',
    ),
    # shares and limits
    _b(
        "shares that do not add up",
        "shares-sum",
        "tenant[1].share",
        "add up to 0.9",
        more=TENANTS.replace("0.3", "0.2"),
    ),
    _b(
        "a share above all",
        "type",
        "tenant[1].share",
        "less than or equal to 1",
        more='[[tenant]]\nname = "oma"\nshare = 1.5\n',
    ),
    _b(
        "too few descriptors",
        "descriptors-few",
        "limits.descriptors",
        "64 descriptors leave 25 for callers",
        more="[limits]\ndescriptors = 64\n",
    ),
    _b(
        "too little memory",
        "memory-little",
        "limits.memory_mb",
        "hold 26 MB",
        more="[limits]\nopen_requests = 400\ndescriptors = 1024\n",
    ),
    _b(
        "tiers in a circle",
        "tier-loop",
        "tier[1].behind",
        "is behind itself",
        "attempts = 2  ",
        'behind = "palvelu"\nattempts = 2  ',
    ),
    # the form
    _b(
        "a key with a slip",
        "unknown-key",
        "route[2].repeet",
        "is not a known key here",
        'class = "siirto"\nrepeat = true',
        'class = "siirto"\nrepeet = true',
    ),
    _b(
        "a table that is not known",
        "unknown-key",
        "limit",
        "is not a known key here",
        more="[limit]\nmemory_mb = 64\n",
    ),
    _b("no version", "missing", "version", "is required", "version = 1\n", ""),
    _b("a version to come", "version", "version", "Input should be 1", "version = 1\n", "version = 2\n"),
    _b("no discovery", "missing", "tier[1].discovery", "is required", 'discovery = "127.0.0.1:8500"\n', ""),
]
