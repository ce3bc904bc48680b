"""With [admission], those that come back to a desk or relay are let in one by one; without it nothing of it
is loaded.
"""


def paced(above, sections, name, log):
    """above: the Desk or Relay, given back."""
    if "admission" in sections:
        from .admission import Admission

        above.admission = Admission(above.reactor, log, sections, above, name)
    return above
