"""Fencing tokens that let workers refuse outdated orders.

A worker refuses orders with a lower token than the highest one it has seen. A
new owner has higher tokens than each former one. A worker that starts again
under its id cannot tell that an order was for its former incarnation, whose
clock and numbers of ends mean something else, so orders for each further
incarnation have a higher token as well.
"""

TOKENS_PER_EPOCH = 32
"""Tokens of one owner. An owner of an earlier version uses its epoch alone and
claims the next one, so workers that restarted more than once refuse it until
it has claimed the cell some times."""

MAX_GENERATION = TOKENS_PER_EPOCH - 1


def next_epoch(last_epoch: int) -> int:
    """Return the epoch of the owner after that of ``last_epoch``, 0 if none.

    >>> next_epoch(0), next_epoch(1)
    (1, 33)
    """
    return last_epoch + TOKENS_PER_EPOCH if last_epoch else 1


def token(epoch: int, generation: int) -> int:
    """Return the token of orders for an incarnation of a worker.

    ``generation`` counts the incarnations that ended during the epoch. From
    the last token on, orders for a former one are not told apart any more.

    >>> token(33, 0), token(33, 1), token(33, 99)
    (33, 34, 64)
    """
    return epoch + min(generation, MAX_GENERATION)
