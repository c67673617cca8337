"""Developer tools, which are not part of the installed package."""
