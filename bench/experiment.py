"""The cost of the experiment tool: python -m bench.experiment [--nodes N] [--servers R] [--requests M].

Three measurements: requests per CPU second of the policy-only and of the whole model on the bookings shape;
the difference of their mean service over a few seeds; and one policy-only run of N nodes and R servers in a
process of its own, with its wall time and memory. The last line has all figures.
"""

from __future__ import annotations

import argparse
import json
import resource
import statistics
import subprocess
import sys
import time

from leadrudder.experiment.loader import load
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play

MEAN_WORK_MS = 50.0
LOAD_FRACTION = 0.5  # of the large fleet's capacity


def measure_shape(model: str, seeds: range, length_s: float) -> tuple[float, float]:
    """Requests per CPU second and the mean service of a model on the bookings shape."""
    source, _, _ = load("bookings")
    file = apply_changes(source.values, {"length_s": length_s})
    requests, services = 0.0, []
    started_at = time.process_time()
    for seed in seeds:
        result = play(file, seed, decider_factory("leadrudder"), model=model)
        requests += result.figures["requests"]
        services.append(result.figures["service"])
        print(f"{model} seed {seed}: service {services[-1]:.3f} broken {result.broken}", file=sys.stderr)
    return requests / (time.process_time() - started_at), statistics.fmean(services)


def run_large_fleet(nodes: int, servers: int, requests: int) -> dict[str, float]:
    """One run of a large fleet in this process."""
    # The factor 0.75: half of the servers have half the speed.
    requests_per_s = LOAD_FRACTION * servers * 1000.0 / MEAN_WORK_MS * 0.75
    values = {
        "version": 1,
        "name": "large",
        "length_s": requests / requests_per_s,
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
        "load": {"per_s": requests_per_s},
        "runs": {"most_steps": 10**9},
    }
    started_at = time.perf_counter()
    last_print_at = started_at

    def print_progress(fraction: float) -> None:
        nonlocal last_print_at
        if time.perf_counter() - last_print_at > 10.0:
            last_print_at = time.perf_counter()
            print(f"{100 * fraction:.0f}% after {last_print_at - started_at:.0f} s", file=sys.stderr)

    result = play(apply_changes(values, {}), 1, decider_factory("leadrudder"), progress=print_progress)
    return {
        "wall_s": time.perf_counter() - started_at,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        "requests": result.figures["requests"],
        "service": result.figures["service"],
    }


def main() -> int:
    """Exit code 0 if all runs completed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--requests", type=int, default=1_000_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0, help="virtual seconds of a run of the shape")
    parser.add_argument("--only-large", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.only_large:
        print(json.dumps(run_large_fleet(options.nodes, options.servers, options.requests)))
        return 0
    seeds = range(1, options.seeds + 1)
    policy_rate, policy_service = measure_shape("policy", seeds, options.seconds)
    whole_rate, whole_service = measure_shape("whole", seeds, options.seconds)
    command = [sys.executable, "-m", "bench.experiment", "--only-large"]
    for name in ("nodes", "servers", "requests"):
        command += [f"--{name}", str(getattr(options, name))]
    figures = json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout)
    print(
        f"requests_per_cpu_s_policy={policy_rate:.0f} requests_per_cpu_s_whole={whole_rate:.0f}"
        f" nodes={options.nodes} servers={options.servers} requests={figures['requests']:.0f}"
        f" wall_s={figures['wall_s']:.0f} memory_mb={figures['memory_mb']:.0f}"
        f" service={figures['service']:.3f}"
        f" whole_against_policy={100.0 * (whole_service - policy_service):+.2f}%"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
