"""Combine faults that overlap in time."""

import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class FaultStack(Generic[T]):
    """The faults in force at one target, by the id of the fault.

    Of several values of a field, the largest is in force.
    """

    def __init__(self, cls: type[T]) -> None:
        self._cls = cls
        self._active: dict[int, T] = {}

    def set(self, fault: int, faults: T | None) -> T:
        """Add or remove the faults of a fault; return those in force."""
        self._active.pop(fault, None)
        if faults is not None:
            self._active[fault] = faults
        cls: Any = self._cls
        values = [cls(), *self._active.values()]
        return cls(
            **{
                field.name: max(getattr(value, field.name) for value in values)
                for field in dataclasses.fields(cls)
            }
        )
