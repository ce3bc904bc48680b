"""The command line: groups of subcommands, each imported only when it is called."""

import sys
from importlib import import_module

import click

from ..errors import HookrouterError

DONE, FAILED, WRONG = 0, 1, 2  # exit codes: success; failure; wrong usage or input

# name -> (module, its command, one line of help)
COMMANDS = {
    "serve": ("router", "serve", "Serve lookups until SIGTERM."),
    "check": ("router", "check", "Read what serve reads, and say what is wrong with it."),
    "version": ("router", "version", "Print the version."),
    "trace": ("trace", "trace", "Read traces of decisions: follow a lookup, account for what was lost."),
    "fleet": ("fleet", "fleet", "Members that own the fleet's work, one at a time each; keepers, duties."),
    "purges": ("purges", "purges", "Purge copies in the whole fleet, and run the desk that does it."),
}


class LazyGroup(click.Group):
    """A group that knows the names and help of its commands, and imports a command only to run it."""

    def list_commands(self, context):
        return list(COMMANDS)

    def get_command(self, context, name):
        if name not in COMMANDS:
            return None
        module, attribute, _ = COMMANDS[name]
        return getattr(import_module(f".{module}", __name__), attribute)

    def format_commands(self, context, formatter):
        with formatter.section("Commands"):
            formatter.write_dl([(name, about) for name, (_, _, about) in COMMANDS.items()])


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
def commands():
    """A traffic router for two-tier caches.

    Example: EDGE_CONFIG=docs/example.json hookrouter check
    """


def main(arguments=None, signals=None):
    """Runs one command; returns its exit code. signals: has recorded signals since the process started."""
    try:
        commands.main(arguments, prog_name="hookrouter", obj=signals)
    except SystemExit as ended:
        return ended.code or DONE
    except HookrouterError as error:
        return ended_by(error)
    except OSError as error:
        from ..errors.commands import SystemFailure

        return ended_by(SystemFailure(error))
    return DONE


def stop(code, line):
    """Prints one line and exits, for errors without a class in hookrouter/errors/."""
    print(f"hookrouter: {line}", file=sys.stderr)
    raise SystemExit(code)


def ended_by(error):
    """Prints the error with what to do about it; returns the exit code."""
    print(f"{error.prefix}{error.user_message()}", file=sys.stderr)
    return error.exit_code


site_option = click.option(
    "--site",
    "site_file",
    envvar="HOOKROUTER_SITE",
    metavar="FILE",
    type=click.Path(dir_okay=False),
    help="The operator's file (HOOKROUTER_SITE).",
)


def read_site(name):
    """Returns the sections of the operator's file, {} without a file; raises InvalidSiteFile."""
    if not name:
        return {}
    from ..site import read

    return read(name)


def sections_of(site_file, *required):
    """Returns the sections of the operator's file; raises MissingSection if a required one is missing."""
    from ..errors.site import MissingSection, SiteFileNotNamed

    if not site_file:
        raise SiteFileNotNamed("the operator's file is wanted: --site FILE or HOOKROUTER_SITE")
    sections = read_site(site_file)
    for name in required:
        if name not in sections:
            raise MissingSection(f"{site_file}: there is no section [{name}]; it is needed for this command")
    return sections


def tell_uncaught(log):
    """Passes errors that Twisted logs, such as uncaught exceptions, to the log."""
    from twisted.logger import LogLevel, formatEvent, globalLogBeginner

    def observe(event):
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            log(
                "uncaught error",
                failure.getTraceback() if failure is not None else formatEvent(event),
                level="error",
            )

    globalLogBeginner.beginLoggingTo([observe], redirectStandardIO=False)


def run_until(on_signal, reactor):
    """Runs the reactor; SIGTERM and SIGINT call on_signal() in its thread."""
    import signal

    def handle_signal(number, frame):
        reactor.callFromThread(on_signal)

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    reactor.run(installSignalHandlers=False)
