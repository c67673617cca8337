"""One module for each section of the settings."""
