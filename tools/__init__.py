"""Tools for developers; they are not part of the program."""
