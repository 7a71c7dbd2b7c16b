"""Sizes of the pools: which machines move, and when."""


def plan_moves(manager, dispatcher, now_ms):
    """Plans moves between pools; nothing moves without a standby pool."""
