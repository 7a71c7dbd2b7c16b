"""Registries of the planner's stages, handlers and policies.

A stage is ``plan(view, now_ms, random) -> list[Command]``. An event handler
is ``handle(view, event, now_ms)``; it returns the names of the pools to plan,
or None for all. A confirmation handler is ``confirm(view, command, now_ms)``;
a refusal handler has the same parameters.
"""

from wigeonport.registries import Registry

stages = Registry("stage")
event_handlers = Registry("event handler")
confirmations = Registry("confirmation")
refusals = Registry("refusal")
reserve_policies = Registry("reserve policy")
borrow_policies = Registry("borrow policy")
wave_orders = Registry("wave order")
placement_policies = Registry("placement policy")
estimate_policies = Registry("estimate policy")
POLICIES = {
    "reserve_policy": reserve_policies,
    "borrow_policy": borrow_policies,
    "wave_order": wave_orders,
    "placement_policy": placement_policies,
    "estimate_policy": estimate_policies,
}
