"""Measure how late the event loop of a process calls its timers."""

from oriolestand_policy.delays._window import DelayWindow

__all__ = ['DelayWindow']
