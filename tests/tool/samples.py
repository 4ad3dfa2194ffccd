"""Operators' files for the tests: valid ones, and invalid ones with one mistake each."""

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

MINIMAL = """\
version = 1
application = {name = "pieni"}
tier = [{name = "t", discovery = "127.0.0.1:1"}]
listener = [{name = "l", address = "127.0.0.1:2", tier = "t"}]
class = [{name = "c", aim_ms = 1, deadline_ms = 1}]
route = [{method = "POST", path = "/", listener = "l", class = "c"}]
"""

VALID_FILES: dict[str, str] = {
    "as written by init": BASE,
    "the minimum": MINIMAL,
    "with Windows line endings": BASE.replace("\n", "\r\n"),
    "with tenants": BASE + TENANTS,
    "with a second tier": BASE + SECOND_TIER,
    "with a permitted listener on all addresses": BASE.replace("127.0.0.1:8100", "0.0.0.0:8100")
    + '[limits]\npermitted = ["0.0.0.0/0"]\n',
    "with a listener on IPv6": BASE.replace("127.0.0.1:8100", "[::1]:8100")
    + '[limits]\npermitted = ["::1/128"]\n',
    "with repeat inherited by a keyed class": BASE.replace(
        'class = "siirto"\nrepeat = true', 'class = "siirto"'
    ).replace(
        'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"',
        'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"\nrepeat = false',
    )
    + "[defaults]\nrepeat = true\n",
    "with a class without an effect": BASE.replace('effect = "unsafe"\n', ""),
    "with a keyed class deduplicated within a zone": BASE.replace(
        'drops_repeats = "all" ', 'drops_repeats = "zone"'
    ).replace('group = "all"', 'group = "zone"'),
    "with two listeners of one tier": BASE
    + '[[listener]]\nname = "tausta"\naddress = "127.0.0.1:8101"\ntier = "palvelu"\n',
    "with quoted and dotted keys": MINIMAL.replace(
        'application = {name = "pieni"}', '"application".name = "pieni"'
    ),
    "with names beyond ASCII in its comments": "# Hämeenlinnan kampaamo – ajanvaraus\n" + BASE,
}


@dataclass(frozen=True)
class InvalidSample:
    """A file with one mistake: what is replaced in or appended to BASE, and the problem that must be reported."""

    name: str
    rule: str
    field: str
    message: str
    old: str = ""
    new: str = ""
    appended: str = ""

    @property
    def text(self) -> str:
        assert not self.old or self.old in BASE, self.old
        return (BASE.replace(self.old, self.new, 1) if self.old else BASE) + self.appended


def _sample(
    name: str, rule: str, field: str, message: str, old: str = "", new: str = "", appended: str = ""
) -> InvalidSample:
    return InvalidSample(name, rule, field, message, old, new, appended)


VARAUS = 'path = "/varaus/*"\nlistener = "front"\nclass = "varaus"\n'
SIIRTO = 'group = "all"\nwindow_ms = 7500\n'

INVALID_SAMPLES = [
    # repeats
    _sample(
        "an unsafe class may be repeated",
        "unsafe-repeated",
        "route[1].repeat",
        "of the unsafe class 'varaus' may be repeated.",
        VARAUS,
        VARAUS + "repeat = true\n",
    ),
    _sample(
        "an unsafe class inherits repeat",
        "unsafe-repeated",
        "defaults.repeat",
        "inherits it from [defaults]",
        appended="[defaults]\nrepeat = true\n",
    ),
    _sample(
        "a class without an effect is repeated",
        "unsafe-repeated",
        "route[4].repeat",
        "unsafe class 'uusi'",
        appended='[[class]]\nname = "uusi"\naim_ms = 1\ndeadline_ms = 2\n'
        '[[route]]\nmethod = "POST"\npath = "/uusi"\nlistener = "front"\nclass = "uusi"\nrepeat = true\n',
    ),
    _sample(
        "keyed without a group",
        "keyed-without-group",
        "class[2].name",
        "does not set its group",
        'group = "all"\n',
        "",
    ),
    _sample(
        "keyed without a window",
        "keyed-without-window",
        "class[2].name",
        "does not set its window_ms",
        "window_ms = 7500\n",
        "",
    ),
    _sample(
        "a window that ends before the deadline",
        "window-too-short",
        "class[2].window_ms",
        "(3000 ms) ends before its deadline (5000 ms)",
        "window_ms = 7500\n",
        "window_ms = 3000\n",
    ),
    _sample(
        "a window longer than the servers' memory",
        "window-too-long",
        "class[2].window_ms",
        "remembers keys for 7500 ms",
        "window_ms = 7500\n",
        "window_ms = 9000\n",
    ),
    _sample(
        "a group wider than repeats are dropped",
        "group-too-wide",
        "class[2].group",
        "drops repeats within 'cell'",
        'drops_repeats = "all" ',
        'drops_repeats = "cell"',
    ),
    _sample(
        "a group whose servers drop no repeats",
        "group-too-wide",
        "class[2].group",
        "drops repeats within 'none'",
        'drops_repeats = "all" ',
        'drops_repeats = "none"',
    ),
    _sample(
        "a window of an unsafe class",
        "key-unused",
        "class[1].window_ms",
        "is unsafe and has a window_ms",
        'effect = "unsafe"\n',
        'effect = "unsafe"\nwindow_ms = 10\n',
    ),
    _sample(
        "a group of a safe class",
        "key-unused",
        "class[3].group",
        "is safe and has a group",
        'effect = "safe"\n',
        'effect = "safe"\ngroup = "all"\n',
    ),
    _sample(
        "GET for an unsafe class",
        "method-misfit",
        "route[1].method",
        "GET /varaus/* is of class 'varaus'",
        'method = "POST"\npath = "/varaus/*"',
        'method = "GET"\npath = "/varaus/*"',
    ),
    _sample(
        "POST for a safe class",
        "method-misfit",
        "route[3].method",
        "which is safe",
        'method = "GET"',
        'method = "POST"',
    ),
    _sample(
        "routes of one class disagree on repeat",
        "repeat-mixed",
        "route[4].repeat",
        "by only one of the routes 2 and 4",
        appended='[[route]]\nmethod = "POST"\npath = "/muutos"\nlistener = "front"\nclass = "siirto"\n',
    ),
    _sample(
        "copies without a second attempt",
        "copies-without-attempts",
        "tier[1].copies",
        "allows copies but makes one attempt",
        "attempts = 2  ",
        "copies = true\nattempts = 1  ",
    ),
    _sample(
        "attempts that multiply",
        "attempts-multiply",
        "tier[2].attempts",
        "6 times (2 x 3)",
        appended=SECOND_TIER.replace("attempts = 2", "attempts = 3"),
    ),
    _sample(
        "attempts that multiply by inheritance",
        "attempts-multiply",
        "defaults.attempts",
        "10 times (2 x 5)",
        appended=SECOND_TIER.replace("attempts = 2\n", "") + "[defaults]\nattempts = 5\n",
    ),
    # names
    _sample(
        "a tier defined twice",
        "name-taken",
        "tier[2].name",
        "tier 'palvelu' is defined twice",
        appended='[[tier]]\nname = "palvelu"\ndiscovery = "127.0.0.1:8501"\ndrops_repeats = "all"\ndrops_repeats_ms = 7500\n',
    ),
    _sample(
        "a class defined twice",
        "name-taken",
        "class[4].name",
        "class 'haku' is defined twice",
        appended='[[class]]\nname = "haku"\neffect = "safe"\naim_ms = 1\ndeadline_ms = 2\n',
    ),
    _sample(
        "a listener of an unknown tier",
        "tier-unknown",
        "listener[1].tier",
        "there is no tier 'palvelin'",
        'tier = "palvelu"',
        'tier = "palvelin"',
    ),
    _sample(
        "a tier behind an unknown tier",
        "tier-unknown",
        "tier[2].behind",
        "there is no tier 'api'",
        appended=SECOND_TIER.replace('behind = "palvelu"', 'behind = "api"'),
    ),
    _sample(
        "a route to an unknown listener",
        "listener-unknown",
        "route[1].listener",
        "there is no listener 'etu'",
        VARAUS,
        VARAUS.replace('"front"', '"etu"'),
    ),
    _sample(
        "a route to an unknown class",
        "class-unknown",
        "route[1].class",
        "there is no class 'varaukset'",
        VARAUS,
        VARAUS.replace('"varaus"', '"varaukset"'),
    ),
    _sample(
        "a name with a space",
        "type",
        "application.name",
        "String should match pattern",
        'name = "kampaamo"',
        'name = "oma kampaamo"',
    ),
    # times
    _sample(
        "an aim after the deadline",
        "aim-after-deadline",
        "class[1].aim_ms",
        "has an aim of 9000 ms but a deadline of 4000 ms",
        "aim_ms = 1500",
        "aim_ms = 9000",
    ),
    _sample(
        "a deadline that grows inwards",
        "deadline-grows",
        "tier[2].deadline_ms",
        "for up to 2000 ms, but tier 'palvelu' before it waits only 500 ms",
        "attempts = 2  ",
        "deadline_ms = 500\nattempts = 2  ",
        SECOND_TIER,
    ),
    _sample(
        "a deadline of zero",
        "type",
        "class[1].deadline_ms",
        "Input should be greater than 0",
        "deadline_ms = 4000",
        "deadline_ms = 0",
    ),
    _sample(
        "an aim that is not a number",
        "type",
        "class[1].aim_ms",
        "finite number",
        "aim_ms = 1500",
        "aim_ms = nan",
    ),
    _sample(
        "a deadline as text",
        "type",
        "class[1].deadline_ms",
        "valid number",
        "deadline_ms = 4000",
        'deadline_ms = "4 s"',
    ),
    _sample(
        "a negative worth",
        "type",
        "class[1].worth",
        "greater than or equal to 0",
        "worth = 9",
        "worth = -9",
    ),
    _sample(
        "a boolean as text",
        "type",
        "route[2].repeat",
        "valid boolean",
        '"siirto"\nrepeat = true',
        '"siirto"\nrepeat = "true"',
    ),
    # addresses and routes
    _sample(
        "two listeners on one port",
        "port-taken",
        "listener[2].address",
        "taken by listener 'front'",
        appended='[[listener]]\nname = "toinen"\naddress = "127.0.0.1:8100"\ntier = "palvelu"\n',
    ),
    _sample(
        "0.0.0.0 against a specific address",
        "port-taken",
        "listener[2].address",
        "0.0.0.0:8100 is taken by listener 'front' (127.0.0.1:8100)",
        appended='[limits]\npermitted = ["0.0.0.0/0"]\n[[listener]]\nname = "toinen"\naddress = "0.0.0.0:8100"\ntier = "palvelu"\n',
    ),
    _sample(
        "a listener at its own tier's discovery address",
        "port-taken",
        "listener[2].address",
        "127.0.0.1:8500 is taken by discovery of tier 'palvelu'",
        appended='[[listener]]\nname = "toinen"\naddress = "127.0.0.1:8500"\ntier = "palvelu"\n',
    ),
    _sample(
        "a listener on all addresses at the discovery port",
        "port-taken",
        "listener[2].address",
        "0.0.0.0:8500 is taken by discovery of tier 'palvelu'",
        appended='[limits]\npermitted = ["0.0.0.0/0"]\n[[listener]]\nname = "toinen"\naddress = "0.0.0.0:8500"\ntier = "palvelu"\n',
    ),
    _sample(
        "a listener on all addresses without permission",
        "listener-not-permitted",
        "listener[1].address",
        "0.0.0.0:8100 is in none of 127.0.0.0/8",
        'address = "127.0.0.1:8100"',
        'address = "0.0.0.0:8100"',
    ),
    _sample(
        "a host name as a listener address",
        "address-name",
        "listener[1].address",
        "'localhost' is not an IP address",
        'address = "127.0.0.1:8100"',
        'address = "localhost:8100"',
    ),
    _sample(
        "a host name as a discovery address",
        "address-name",
        "tier[1].discovery",
        "'luettelo' is not an IP address",
        'discovery = "127.0.0.1:8500"',
        'discovery = "luettelo:8500"',
    ),
    _sample(
        "a port that does not exist",
        "port-range",
        "listener[1].address",
        "port 81000 does not exist",
        'address = "127.0.0.1:8100"',
        'address = "127.0.0.1:81000"',
    ),
    _sample(
        "an address without a port",
        "type",
        "listener[1].address",
        "String should match pattern",
        'address = "127.0.0.1:8100"',
        'address = "127.0.0.1"',
    ),
    _sample(
        "an invalid network",
        "network-malformed",
        "limits.permitted[2]",
        "'everywhere' is not a network",
        appended='[limits]\npermitted = ["127.0.0.0/8", "everywhere"]\n',
    ),
    _sample(
        "an unreachable route",
        "route-shadowed",
        "route[4].path",
        "route 3 (/*) matches first",
        appended='[[route]]\nmethod = "GET"\npath = "/haku"\nlistener = "front"\nclass = "haku"\nrepeat = true\n',
    ),
    _sample(
        "a route defined twice",
        "route-shadowed",
        "route[4].path",
        "route 1 (/varaus/*) matches first",
        appended='[[route]]\nmethod = "POST"\npath = "/varaus/*"\nlistener = "front"\nclass = "varaus"\n',
    ),
    _sample(
        "a star in the middle",
        "path-star",
        "route[1].path",
        "has a star that is not at its end",
        'path = "/varaus/*"',
        'path = "/*/varaus"',
    ),
    _sample(
        "a path without a leading slash",
        "type",
        "route[1].path",
        "String should match pattern",
        'path = "/varaus/*"',
        'path = "varaus/*"',
    ),
    _sample(
        "an unsupported method",
        "type",
        "route[1].method",
        "'GET' or 'POST'",
        'method = "POST"',
        'method = "PUT"',
    ),
    # shares and limits
    _sample(
        "shares that do not add up",
        "shares-sum",
        "tenant[1].share",
        "add up to 0.9",
        appended=TENANTS.replace("0.3", "0.2"),
    ),
    _sample(
        "a share above 1",
        "type",
        "tenant[1].share",
        "less than or equal to 1",
        appended='[[tenant]]\nname = "oma"\nshare = 1.5\n',
    ),
    _sample(
        "too few descriptors",
        "descriptors-few",
        "limits.descriptors",
        "64 descriptors leave 25 for callers",
        appended="[limits]\ndescriptors = 64\n",
    ),
    _sample(
        "too little memory",
        "memory-little",
        "limits.memory_mb",
        "hold 26 MB",
        appended="[limits]\nopen_requests = 400\ndescriptors = 1024\n",
    ),
    _sample(
        "a cycle of tiers",
        "tier-loop",
        "tier[1].behind",
        "is behind itself",
        "attempts = 2  ",
        'behind = "palvelu"\nattempts = 2  ',
    ),
    # keys and required fields
    _sample(
        "a misspelled key",
        "unknown-key",
        "route[2].repeet",
        "is not a known key here",
        'class = "siirto"\nrepeat = true',
        'class = "siirto"\nrepeet = true',
    ),
    _sample(
        "an unknown table",
        "unknown-key",
        "limit",
        "is not a known key here",
        appended="[limit]\nmemory_mb = 64\n",
    ),
    _sample("no version", "missing", "version", "is required", "version = 1\n", ""),
    _sample(
        "an unsupported version", "version", "version", "Input should be 1", "version = 1\n", "version = 2\n"
    ),
    _sample(
        "no discovery", "missing", "tier[1].discovery", "is required", 'discovery = "127.0.0.1:8500"\n', ""
    ),
]
