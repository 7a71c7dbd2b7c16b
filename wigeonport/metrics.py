"""Counters, gauges and histograms of one process."""

from hdrh.histogram import HdrHistogram

# An hour in microseconds, the smallest unit that metrics have.
MAX_HISTOGRAM_VALUE = 3_600_000_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 99.0, 99.9)


class Metrics:
    """The metrics of a process; names have the form ``part_what_unit``.

    Attributes:
        counters: Maps name to count.
        gauges: Maps name to latest value.
        histograms: Maps name to HdrHistogram.
        tables: Maps name to a list of dicts, for what no number holds.
    """

    __slots__ = ("counters", "gauges", "histograms", "tables")

    def __init__(self):
        self.counters = {}
        self.gauges = {}
        self.histograms = {}
        self.tables = {}

    def count(self, name, amount=1):
        """Adds ``amount`` to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def set(self, name, value):
        """Sets a gauge."""
        self.gauges[name] = value

    def record(self, name, value):
        """Records a value as an integer from 1 to ``MAX_HISTOGRAM_VALUE``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                1, MAX_HISTOGRAM_VALUE, SIGNIFICANT_FIGURES
            )
            self.histograms[name] = histogram
        histogram.record_value(max(1, min(int(value), MAX_HISTOGRAM_VALUE)))

    def to_document(self):
        """Returns all metrics as plain data."""
        return {
            "counters": dict(self.counters),
            "gauges": dict(self.gauges),
            "histograms": {
                name: summarize(histogram)
                for name, histogram in self.histograms.items()
            },
            "tables": dict(self.tables),
        }


def summarize(histogram):
    """Returns count, percentiles and maximum of a histogram."""
    summary = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}"] = value
    summary["max"] = histogram.get_max_value()
    return summary
