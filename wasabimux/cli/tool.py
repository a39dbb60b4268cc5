"""The operators' command line."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from cyclopts import App

from wasabimux.settings.check import check_fleet

EXIT_FAILED = 1
EXIT_MISUSED = 2

app = App(name="wasabimux", help="Operates a wasabimux fleet.")
settings_app = App(name="settings", help="The tree of settings.")
app.command(settings_app)


@settings_app.command
def check(fleet: Path) -> None:
    """Checks a fleet's settings and prints every finding with its place.

    Example: wasabimux settings check examples/brazos.json

    Args:
        fleet: Settings of the fleet, a JSON file.
    """
    try:
        document = json.loads(fleet.read_bytes())
    except (OSError, ValueError) as error:
        print(f"{fleet}: {error}", file=sys.stderr)
        sys.exit(EXIT_MISUSED)
    checked = check_fleet(document)
    if checked.is_error():
        for finding in checked.error:
            print(f"{fleet}: {finding}")
        sys.exit(EXIT_FAILED)
    print(f"{fleet}: no findings")


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
