"""Plot service latency and failures over time."""

import collections
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from oriolestand_bench.policy import _record  # noqa: E402

OUT = pathlib.Path('out')
BIN_MS = 500


def draw(
    name: str, policy: _record.Record, baseline: _record.Record
) -> pathlib.Path:
    """Plot the policy and the baseline; return the path of the file."""
    OUT.mkdir(exist_ok=True)
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True)
    for label, record in (('policy', policy), ('baseline', baseline)):
        times, p99s, failed_fractions = _series(record)
        upper.plot(times, p99s, label=label)
        lower.plot(times, failed_fractions, label=label)
    for axes in (upper, lower):
        axes.axvspan(
            policy.event.begin / 1000, policy.event.end / 1000, alpha=0.1
        )
    upper.set_ylabel('p99 of services, ms')
    upper.set_ylim(bottom=0)
    upper.legend()
    lower.set_ylabel('failed service requests, fraction')
    lower.set_xlabel('virtual time, s')
    upper.set_title(name)
    path = OUT / (name.replace('/', '-').replace(' ', '_') + '.png')
    figure.savefig(path, metadata={'Software': None})
    pyplot.close(figure)
    return path


def _series(
    record: _record.Record,
) -> tuple[list[float], list[float], list[float]]:
    """Return times, p99 and the fraction of failures, by bin."""
    bins: dict[int, list[int]] = collections.defaultdict(list)
    failed: collections.Counter[int] = collections.Counter()
    for at, latency, is_done in record.series:
        if is_done:
            bins[at // BIN_MS].append(latency)
        else:
            failed[at // BIN_MS] += 1
    times, p99s, failed_fractions = [], [], []
    for number in range(record.end // BIN_MS):
        done = sorted(bins.get(number, [0]))
        times.append(number * BIN_MS / 1000)
        p99s.append(float(done[int(0.99 * len(done))]))
        failed_fractions.append(
            failed[number] / max(1, failed[number] + len(done))
        )
    return times, p99s, failed_fractions
