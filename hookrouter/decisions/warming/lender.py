"""A neighbour's side: it lends its list now and then, and keeps the courses of those it lent to."""

from . import lists

MOST_COURSES = 64  # of caches warmed lately
MADE_EVERY = 10_000  # 1 s: a list is made anew no oftener, whoever asks
MOST_A_SECOND = 8  # lists lent: some 100 kB each, a stated part of its time


class Lender:
    def __init__(self, sketch, position, now=0):
        """now: since when it is counted. position(): (epoch, number) of the newest purge told."""
        self.sketch, self.position, self.courses = sketch, position, {}
        self.made, self.since, self.second, self.lent = None, now, -1, 0

    def lend(self, now, cache):
        """(Lent or None where it has lent enough this second, the Course kept for that cache or None)."""
        if now // 10_000 != self.second:
            self.second, self.lent = now // 10_000, 0
        if self.lent >= MOST_A_SECOND:
            return None, self.courses.get(cache)
        self.lent += 1
        if self.made is None or now - self.made[0] >= MADE_EVERY or self.made[1] != self.position():
            # A list of before a purge says so by its number; one made anew is of more use.
            self.made = now, self.position(), self.sketch.sure()
        made, position, summary = self.made
        return lists.lend(summary, now - made, position, max(1, now - self.since)), self.courses.get(cache)

    def lodge(self, course):
        """Kept for a successor; an old owner's does not take a newer one's place."""
        old = self.courses.get(course.cache)
        if old is not None and old.number > course.number:
            return False
        self.courses.pop(course.cache, None)
        self.courses[course.cache] = course
        if len(self.courses) > MOST_COURSES:
            del self.courses[next(iter(self.courses))]
        return True

    def halved(self, now):
        """The sketch has been halved: what is left is of half as long."""
        self.since += (now - self.since) // 2
