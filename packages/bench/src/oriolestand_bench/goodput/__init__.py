"""Goodput of a cell at loads below and above the room of its workers."""
