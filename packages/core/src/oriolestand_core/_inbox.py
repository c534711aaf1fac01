"""Provide the bounded message queue of a task."""

import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from oriolestand_core import _errors

T = TypeVar('T')


class Inbox(Generic[T]):
    """Queue messages in order of arrival, up to a limit.

    >>> inbox = Inbox('demo', limit=1)
    >>> inbox.put('first')
    >>> inbox.put('second')
    Traceback (most recent call last):
    ...
    oriolestand_core._errors.InboxFullError: inbox_full: the inbox is full \
(task=demo, limit=1)
    """

    __slots__ = ('_items', '_limit', '_task_name', 'take')

    def __init__(self, task_name: str, limit: int) -> None:
        self._task_name = task_name
        self._limit = limit
        self._items: collections.deque[T] = collections.deque()
        self.take: Callable[[], T] = self._items.popleft
        """Remove and return the oldest message; IndexError if empty."""

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._items)

    def put(self, item: T) -> None:
        """Append a message, or raise InboxFullError at the limit."""
        if len(self._items) >= self._limit:
            raise _errors.InboxFullError(
                'the inbox is full', task=self._task_name, limit=self._limit
            )
        self._items.append(item)

    def clear(self) -> None:
        """Drop all queued messages."""
        self._items.clear()
