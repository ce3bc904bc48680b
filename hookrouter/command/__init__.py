"""The command line: sub-commands in groups, each loaded only when it is called."""

import sys
from importlib import import_module

import click

from ..errors import HookrouterError

DONE, FAILED, WRONG = 0, 1, 2  # exit codes: done; it could not be done; wrong use or wrong input

# name -> (module, its command, one line of help)
COMMANDS = {
    "serve": ("router", "serve", "Serve lookups until SIGTERM."),
    "check": ("router", "check", "Read what serve reads, and say what is wrong with it."),
    "version": ("router", "version", "Print the version."),
    "trace": ("trace", "trace", "Read traces of decisions: follow a lookup, account for what was lost."),
    "fleet": ("fleet", "fleet", "Members that own the fleet's work, one at a time each; keepers, duties."),
    "purges": ("purges", "purges", "Purge copies in the whole fleet, and run the desk that does it."),
}


class Late(click.Group):
    """Knows its commands' names and help; imports one only to run it."""

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


@click.group(cls=Late, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def commands():
    """A traffic router for two-tier caches.

    Example: EDGE_CONFIG=docs/example.json hookrouter check
    """


def main(arguments=None, signals=None):
    """Runs one command; its exit code. signals: what keeps signals since the start of the process."""
    try:
        commands.main(arguments, prog_name="hookrouter", obj=signals)
    except SystemExit as ended:
        return ended.code or DONE
    except HookrouterError as wrong:
        return ended_by(wrong)
    except OSError as wrong:
        from ..errors.commands import SystemFailure

        return ended_by(SystemFailure(wrong))
    return DONE


def stop(code, line):
    """Ends with one line, for what has no kind in hookrouter/errors/ yet."""
    print(f"hookrouter: {line}", file=sys.stderr)
    raise SystemExit(code)


def ended_by(trouble):
    """Says what is wrong and what to do; the exit code."""
    print(f"{trouble.prefix}{trouble.user_message()}", file=sys.stderr)
    return trouble.exit_code


site_option = click.option(
    "--site",
    "site_file",
    envvar="HOOKROUTER_SITE",
    metavar="FILE",
    type=click.Path(dir_okay=False),
    help="The operator's file (HOOKROUTER_SITE).",
)


def read_site(name):
    """The sections of the operator's file, none without one; Refused names each fault."""
    if not name:
        return {}
    from ..site import read

    return read(name)


def sections_of(site_file, *wanted):
    """The sections of the operator's file, of which a command needs some."""
    from ..errors.site import MissingSection, SiteFileNotNamed

    if not site_file:
        raise SiteFileNotNamed("the operator's file is wanted: --site FILE or HOOKROUTER_SITE")
    sections = read_site(site_file)
    for name in wanted:
        if name not in sections:
            raise MissingSection(f"{site_file}: there is no section [{name}]; it is needed for this command")
    return sections


def tell_uncaught(log):
    """What Twisted says, where something failed that nobody caught."""
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


def run_until(ending, reactor):
    """Runs the reactor; SIGTERM and SIGINT call ending() in it."""
    import signal

    def end(number, frame):
        reactor.callFromThread(ending)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    reactor.run(installSignalHandlers=False)
