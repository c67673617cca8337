"""Base class of savoryspar's exceptions."""


class SavorysparError(Exception):
    """An error with a message that states what is wrong and how to fix it.

    Attributes:
        message: What is wrong, with the offending value.
        remedy: How to fix it.
    """

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
