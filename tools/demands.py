"""Request arrivals under a rotating demand: each service peaks in turn."""

PEAK_FACTOR = 5.0
LOW_FACTOR = 1 / 20


class Arrival:
    """Arrival of one request.

    Attributes:
        at_ms: Time since the start of the run.
        service: Id of the called service.
    """

    __slots__ = ("at_ms", "service")

    def __init__(self, at_ms, service):
        self.at_ms = at_ms
        self.service = service


def request_rate(service_index, service_count, at_ms, mean_per_s, peak_ms):
    """Returns the request rate of a service at a time, in requests per second.

    The service at its peak has PEAK_FACTOR times the mean rate, the others
    have LOW_FACTOR times the mean. A single service always has the mean.

    Args:
        service_index: Position of the service in the order of the peaks.
        service_count: Number of services.
        at_ms: Time since the start of the run.
        mean_per_s: Mean rate of one service.
        peak_ms: Length of a peak.
    """
    if service_count == 1:
        return mean_per_s
    at_peak = int(at_ms // peak_ms) % service_count == service_index
    return mean_per_s * (PEAK_FACTOR if at_peak else LOW_FACTOR)


def generate_arrivals(services, duration_ms, mean_per_s, peak_ms, random):
    """Yields the Arrivals of Poisson processes with rotating rates.

    Args:
        services: Ids of the services, in the order of their peaks.
        duration_ms: Length of the run.
        mean_per_s: Mean rate of one service.
        peak_ms: Length of a peak; the next service peaks after it.
        random: Source of random numbers.
    """
    at_ms = 0.0
    while True:
        rates_per_s = [
            request_rate(index, len(services), at_ms, mean_per_s, peak_ms)
            for index in range(len(services))
        ]
        at_ms += random.expovariate(sum(rates_per_s)) * 1_000
        if at_ms >= duration_ms:
            return
        yield Arrival(at_ms, random.choices(services, rates_per_s)[0])
