"""Fencing tokens: a resource rejects effects of owners whose grant has been superseded.

See Burrows, "The Chubby lock service", 2006, on sequencers.
"""


class Fence:
    """Keeps the highest fencing token seen for each duty.

    highest_tokens: {duty: token} as read from disk. The caller must persist a token that admit() accepts
    before it carries out the effect.
    """

    def __init__(self, highest_tokens=()):
        self.highest_tokens = dict(highest_tokens)
        self.rejected = 0

    def admit(self, duty, token):
        """Returns whether an effect may be carried out; False if a higher token was seen for the duty."""
        if token < self.highest_tokens.get(duty, 0):
            self.rejected += 1
            return False
        self.highest_tokens[duty] = token
        return True
