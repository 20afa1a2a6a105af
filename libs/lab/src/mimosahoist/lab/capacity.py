"""placeholder."""


def command(arguments): ...
