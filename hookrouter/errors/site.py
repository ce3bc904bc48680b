"""The operator's file."""

from . import HookrouterError


class InvalidValue(HookrouterError, ValueError):
    """One value; the text says what is wrong and what is wanted."""

    code = "site-value"
    advice = "give a value of the form that is wanted; deploy/hookrouter.ini shows each key"
    exit_code = 2


class InvalidSiteFile(HookrouterError):
    """The file cannot be used; lines: `FILE:LINE: [section] key: what is wrong`, a fault each."""

    code = "site-file"
    advice = "correct each line that is named; hookrouter check --site FILE says the same without serving"
    exit_code = 2
    prefix = ""  # each line begins with its place, as editors want it

    def __init__(self, lines):
        super().__init__("\n".join(lines))
        self.lines = lines

    def user_message(self):
        return "\n".join((*self.lines, f"do: {self.advice} ({self.code})"))


class SiteFileNotNamed(HookrouterError):
    """A command needs the file, and none is named."""

    code = "site-unnamed"
    advice = "give --site FILE, or set HOOKROUTER_SITE"
    exit_code = 2


class MissingSection(HookrouterError):
    """A section that a command needs, or a key of one."""

    code = "site-section"
    advice = "add it, or run this where the file has it; deploy/hookrouter.ini shows each section"
    exit_code = 2
