"""What the experiment tool costs: python -m bench.experiment [--nodes N] [--servers R] [--requests M].

Three measurements: requests a CPU second of the policy-only and of the whole model on the bookings shape, and
how far their service is apart there, in the mean of a few seeds; then one run of N nodes by R servers, policy
only, in a process of its own, with its wall time and memory. The last line has all figures.
"""

from __future__ import annotations

import argparse
import json
import resource
import statistics
import subprocess
import sys
import time

from leadrudder.experiment.plan import changed
from leadrudder.experiment.play import decider_factory, play
from leadrudder.experiment.reading import load

MEAN_WORK_MS = 50.0
LOAD = 0.5  # of the large fleet's capacity


def shape(model: str, seeds: range, length_s: float) -> tuple[float, float]:
    """Requests a CPU second, and the mean service, on the bookings shape."""
    source, _, _ = load("bookings")
    file = changed(source.values, {"length_s": length_s})
    requests, services = 0.0, []
    began = time.process_time()
    for seed in seeds:
        result = play(file, seed, decider_factory("leadrudder"), model=model)
        requests += result.figures["requests"]
        services.append(result.figures["service"])
        print(f"{model} seed {seed}: service {services[-1]:.3f} broken {result.broken}", file=sys.stderr)
    return requests / (time.process_time() - began), statistics.fmean(services)


def large(nodes: int, servers: int, requests: int) -> dict[str, float]:
    """One run of a large fleet, here."""
    per_s = LOAD * servers * 1000.0 / MEAN_WORK_MS * 0.75  # half of its servers have half the speed
    values = {
        "version": 1,
        "name": "large",
        "length_s": requests / per_s,
        "fleet": {
            "nodes": nodes,
            "tier": [
                {
                    "name": "api",
                    "servers": servers,
                    "kind": [{"name": "usual", "slots": 4}, {"name": "slower", "slots": 4, "speed": 0.5}],
                }
            ],
        },
        "class": [{"name": "look", "work_ms": MEAN_WORK_MS, "aim_ms": 1000, "deadline_ms": 3000}],
        "load": {"per_s": per_s},
        "runs": {"most_steps": 10**9},
    }
    began = time.perf_counter()
    last = began

    def tell(part: float) -> None:
        nonlocal last
        if time.perf_counter() - last > 10.0:
            last = time.perf_counter()
            print(f"{100 * part:.0f}% after {last - began:.0f} s", file=sys.stderr)

    result = play(changed(values, {}), 1, decider_factory("leadrudder"), progress=tell)
    return {
        "wall_s": time.perf_counter() - began,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        "requests": result.figures["requests"],
        "service": result.figures["service"],
    }


def main() -> int:
    """Exit code 0 when all was played."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--requests", type=int, default=1_000_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0, help="virtual, of a run of the shape")
    parser.add_argument("--only-large", action="store_true", help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.only_large:
        print(json.dumps(large(chosen.nodes, chosen.servers, chosen.requests)))
        return 0
    seeds = range(1, chosen.seeds + 1)
    policy_rate, policy = shape("policy", seeds, chosen.seconds)
    whole_rate, whole = shape("whole", seeds, chosen.seconds)
    words = [sys.executable, "-m", "bench.experiment", "--only-large"]
    for name in ("nodes", "servers", "requests"):
        words += [f"--{name}", str(getattr(chosen, name))]
    told = json.loads(subprocess.run(words, check=True, stdout=subprocess.PIPE).stdout)
    print(
        f"requests_per_cpu_s_policy={policy_rate:.0f} requests_per_cpu_s_whole={whole_rate:.0f}"
        f" nodes={chosen.nodes} servers={chosen.servers} requests={told['requests']:.0f}"
        f" wall_s={told['wall_s']:.0f} memory_mb={told['memory_mb']:.0f} service={told['service']:.3f}"
        f" whole_against_policy={100.0 * (whole - policy):+.2f}%"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
