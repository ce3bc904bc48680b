"""With [admission], those that come back to a desk or relay are let in one by one; without it nothing of it
is loaded.
"""


def paced(publisher, sections, name, log):
    """publisher: the Desk or Relay, given back."""
    if "admission" in sections:
        from .admission import Admission

        publisher.admission = Admission(publisher.reactor, log, sections, publisher, name)
    return publisher
