"""Entry point of the executable."""

import sys

import cappa
from burdockthread_model.errors import BurdockthreadError, SettingsError

from burdockthread import __version__
from burdockthread.commands import EXIT_FAILURE, EXIT_SETTINGS, Burdockthread


def main(argv: list[str] | None = None) -> None:
    """Runs the command line; an error is printed as one line on stderr.

    Exits with `EXIT_SETTINGS` on invalid settings, with `EXIT_FAILURE` on others.
    """
    try:
        cappa.invoke(Burdockthread, argv=argv, version=__version__)
    except SettingsError as error:
        fail(error, EXIT_SETTINGS)
    except BurdockthreadError as error:
        fail(error, EXIT_FAILURE)
    except OSError as error:
        fail(error, EXIT_FAILURE)


def fail(error: Exception, code: int) -> None:
    """Prints the error on one line and exits with the code."""
    line = " ".join(str(error).split())
    print(f"burdockthread: {line}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
