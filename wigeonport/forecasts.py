"""Forecasts each service's current demand from delayed reports."""

import math

from wigeonport.plan_events import DemandReported
from wigeonport.plan_registries import event_handlers


class ServiceDemand:
    """Demand of one service.

    Attributes:
        level: Slots demanded at the last measurement.
        slope: Change of the level in slots per ms.
        mean: Exponentially weighted mean of the level in slots; the time
            constant is the demand window.
        peak: Highest level in slots, decaying towards the mean with the same
            time constant.
        measured_ms: Time of the last measurement.
    """

    __slots__ = ("level", "slope", "mean", "peak", "measured_ms")

    def __init__(self, level, measured_ms):
        self.level = level
        self.slope = 0.0
        self.mean = float(level)
        self.peak = float(level)
        self.measured_ms = measured_ms

    def add(self, level, measured_ms, window_ms):
        """Applies a newer measurement."""
        elapsed_ms = measured_ms - self.measured_ms
        weight = 1 - math.exp(-elapsed_ms / window_ms)
        # The earlier level held from its measurement until this one.
        self.mean += (self.level - self.mean) * weight
        self.peak += (self.mean - self.peak) * weight
        self.peak = max(self.peak, level)
        self.slope = (level - self.level) / elapsed_ms
        self.level = level
        self.measured_ms = measured_ms


class Forecasts:
    """Demand of all services.

    Attributes:
        settings: PlanSettings.
        demands: Maps service name to its ServiceDemand.
    """

    __slots__ = ("settings", "demands")

    def __init__(self, settings):
        self.settings = settings
        self.demands = {}

    def add(self, report):
        """Applies a report; a repeated or older one has no effect."""
        demand = self.demands.get(report.service)
        if demand is None:
            self.demands[report.service] = ServiceDemand(
                report.slots, report.measured_ms
            )
        elif report.measured_ms > demand.measured_ms:
            window_ms = self.settings.demand_window_ms
            demand.add(report.slots, report.measured_ms, window_ms)

    def slots(self, service_name, now_ms):
        """Returns the slots that a service is expected to need now.

        The last level is extrapolated by its slope to the present and
        clamped between zero and the peak. When reports have stopped for
        longer than ``demand_stale_ms``, the demand is unknown and the higher
        of level and mean is assumed.
        """
        demand = self.demands.get(service_name)
        if demand is None:
            return 0.0
        lag_ms = now_ms - demand.measured_ms
        if lag_ms > self.settings.demand_stale_ms:
            return max(demand.level, demand.mean)
        extended = demand.level + demand.slope * lag_ms
        return min(max(extended, 0.0), max(demand.peak, demand.level))

    def needed_vms(self, service, now_ms):
        """Returns the number of VMs that serve the expected demand."""
        slots = self.slots(service.name, now_ms)
        return math.ceil(slots / service.slots_per_vm - 1e-9)


@event_handlers.register(DemandReported)
def handle_demand(view, event, now_ms):
    """Applies a demand report.

    Triggers no plan: the next tick plans with the new demand.
    """
    service = view.fleet.services.get(event.service)
    if service is not None:
        view.forecasts.add(event)
    return ()
