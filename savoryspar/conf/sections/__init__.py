"""Settings by section, one module for each."""
