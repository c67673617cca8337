"""Base class of the errors that savoryspar raises."""


class SavorysparError(Exception):
    """An error whose message says what is wrong and how to fix it.

    Attributes:
        message: What is wrong, with the offending value.
        remedy: What the reader should do about it.
    """

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
