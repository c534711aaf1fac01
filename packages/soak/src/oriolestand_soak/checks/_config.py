"""Checks that configurations take effect and stay."""

from collections.abc import Iterator

from oriolestand_soak.checks import _base
from oriolestand_soak.checks import _timeline

NOT_FOUND = 404
GONE = 410


class AppliesConfigs(_base.Check):
    """A daemon applies each configuration in time and never goes back."""

    promise = 'config'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Derive from each response which versions it is possible with."""
        floors: dict[tuple[str, int], list[tuple[float, int]]] = {}
        calls = [
            call
            for call in timeline.calls.values()
            if call.status in (NOT_FOUND, GONE) or call.is_success
        ]
        for call in sorted(calls, key=lambda call: call.ended_ms):
            sent = call.sent
            possible = [
                config.sent.version
                for config in timeline.configs
                if config.sent.at_ms <= call.ended_ms
                and any(r.name == sent.route for r in config.sent.routes)
                == (call.status != NOT_FOUND)
            ]
            text = f'{sent.method} {sent.route} at {sent.daemon}: '
            text += f'{call.status}'
            newest = max(possible, default=0)
            key = (sent.daemon, sent.process)
            seen = floors.setdefault(key, [])
            floor = max(
                (
                    version
                    for ended_ms, version in seen
                    if ended_ms + timeline.bounds.downgrade_ms < sent.at_ms
                ),
                default=0,
            )
            if newest < floor:
                yield self.violation(
                    call.ended_ms,
                    f'{text} goes back to {newest} from {floor}',
                )
            required = self._required(timeline, call)
            if newest < required:
                yield self.violation(
                    call.ended_ms,
                    f'{text} needs {newest}, {required} is in force',
                )
            known = [version for version in possible if version >= floor]
            if known:
                seen.append((call.ended_ms, min(known)))

    def _required(
        self, timeline: _timeline.Timeline, call: _timeline.Call
    ) -> int:
        """Return the version that has to be in force for a call."""
        sent = call.sent
        if not timeline.is_in_touch(
            sent.daemon, sent.process, sent.at_ms, call.ended_ms
        ):
            return 0
        limit = sent.at_ms - timeline.bounds.config_ms
        return max(
            (
                config.sent.version
                for config in timeline.configs
                if config.acknowledged_ms < limit
            ),
            default=0,
        )
