"""Starts fleets of real processes and measures them."""
