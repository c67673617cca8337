"""Stand-ins of external systems for tests, the demo and the bench."""
