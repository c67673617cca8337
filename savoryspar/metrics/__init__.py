"""Metrics in the Prometheus format."""

from savoryspar.metrics.registry import Metrics, new_metrics
