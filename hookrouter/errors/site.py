"""Errors in the operator's configuration file."""

from . import HookrouterError


class InvalidValue(HookrouterError, ValueError):
    """An invalid value; the text says what is wrong and what is expected."""

    code = "site-value"
    advice = "give a value of the expected form; deploy/hookrouter.ini shows each key"
    exit_code = 2


class InvalidSiteFile(HookrouterError):
    """An invalid file. lines: one `FILE:LINE: [section] key: what is wrong` for each error in it."""

    code = "site-file"
    advice = "correct each line that is named; verify with hookrouter check --site FILE"
    exit_code = 2
    prefix = ""  # each line starts with its position, in the form that editors recognise

    def __init__(self, lines):
        super().__init__("\n".join(lines))
        self.lines = lines

    def user_message(self):
        """A line for each error, and one with the advice and the code."""
        return "\n".join((*self.lines, f"do: {self.advice} ({self.code})"))


class SiteFileNotNamed(HookrouterError):
    """A command that needs the file was given none."""

    code = "site-unnamed"
    advice = "give --site FILE, or set HOOKROUTER_SITE"
    exit_code = 2


class MissingSection(HookrouterError):
    """A section or key that a command needs is missing from the file."""

    code = "site-section"
    advice = "add it, or run the command where the file has it; deploy/hookrouter.ini shows each section"
    exit_code = 2
