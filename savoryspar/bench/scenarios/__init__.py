"""Scenarios, one module per group; ``bench.catalog`` lists them."""
