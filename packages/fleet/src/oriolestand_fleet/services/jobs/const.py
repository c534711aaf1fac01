"""Constants of the jobs service."""

DOMAIN = 'jobs'

FOLLOW_WAIT_MS = 1_000
RETRY_MS = 100

LOAD_TIMEOUT_MS = 8_000
"""How long a new owner may go without a page of the state of the cell; another
daemon may be able to load it. The store client gives a response that keeps
arriving up to 10 s, so the time is checked between reads only: a page that
makes progress is used."""

RESTART_MS = 1_000
"""Delay before a loop that ended with an unexpected error is started again."""

FOLLOW_PAUSE_MS = 120
"""Pause after changes, so that one response carries several; calls to the
store are charged."""

OWNER_PAUSE_MS = 15
"""Shorter pause for the owner of the cell, which must receive jobs before they
can start."""

MAX_VIEW_AGE_MS = 3_000
"""Oldest view from which jobs are counted: the time after which the users'
interface expects an accepted job to be visible (bound ``visible_ms``)."""

SLOW_READ_MS = 1_500
"""Age of a view on arrival from which the next read is sent without a pause,
as half of the largest age is over. Such a read carries several changes
anyway."""

REFUSAL_SWEEP_MS = 5_000
REFUSAL_BATCH = 50
"""The store accepts 100 checks and writes in one commit."""

DEADLINE_MARGIN_MS = 150
"""Time reserved for the answer to reach the caller."""
