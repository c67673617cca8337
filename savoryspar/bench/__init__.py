"""Benchmarks, and fleets of real processes for them, tests and the demo."""
