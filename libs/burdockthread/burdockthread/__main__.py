"""Entry point of the executable."""

import sys

import cappa
from burdockthread_model.errors import BurdockthreadError, SettingsError

from burdockthread import __version__
from burdockthread.commands import EXIT_FAILURE, EXIT_SETTINGS, Burdockthread


def main(argv: list[str] | None = None) -> None:
    """Runs the command line; errors become one line on stderr."""
    try:
        cappa.invoke(Burdockthread, argv=argv, version=__version__)
    except SettingsError as error:
        fail(error, EXIT_SETTINGS)
    except BurdockthreadError as error:
        fail(error, EXIT_FAILURE)
    except OSError as error:
        fail(error, EXIT_FAILURE)


def fail(error: Exception, code: int) -> None:
    """Prints one line that names the cause and exits."""
    line = " ".join(str(error).split())
    print(f"burdockthread: {line}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
