"""Exit codes of all commands."""

OK = 0
FAILED = 1
"""A check found faults, or the task failed."""
USAGE = 2
"""The command line is invalid, or a file that it names is unusable."""
