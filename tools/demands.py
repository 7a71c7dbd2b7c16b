"""Rotating demand: each service peaks in turn."""

PEAK_FACTOR = 5.0
LOW_FACTOR = 1 / 20


class Arrival:
    """One request that is due.

    Attributes:
        at_ms: Time since the start.
        service: Service that is called.
    """

    __slots__ = ("at_ms", "service")

    def __init__(self, at_ms, service):
        self.at_ms = at_ms
        self.service = service


def rate_of(service_index, service_count, at_ms, mean_per_s, turn_ms):
    """Returns the requests a second of a service at a time.

    The service whose turn it is has about five times the mean, the others a
    twentieth of it. A single service has the mean throughout.
    """
    if service_count == 1:
        return mean_per_s
    peaking = int(at_ms // turn_ms) % service_count == service_index
    return mean_per_s * (PEAK_FACTOR if peaking else LOW_FACTOR)


def generate_arrivals(services, duration_ms, mean_per_s, turn_ms, random):
    """Yields Arrivals of a Poisson process whose rate rotates.

    Args:
        services: Names of the services.
        duration_ms: Length of the run.
        mean_per_s: Mean rate of one service.
        turn_ms: Length of a service's turn at its peak.
        random: Source of random numbers.
    """
    at_ms = 0.0
    while True:
        rates = [
            rate_of(index, len(services), at_ms, mean_per_s, turn_ms)
            for index in range(len(services))
        ]
        at_ms += random.expovariate(sum(rates)) * 1_000
        if at_ms >= duration_ms:
            return
        yield Arrival(at_ms, random.choices(services, rates)[0])
