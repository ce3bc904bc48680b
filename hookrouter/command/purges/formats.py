"""Formats data of the desk for people."""

import time


def number_range(numbers):
    """Formats the numbers of one submission."""
    return numbers[0] if len(numbers) == 1 else f"{numbers[0]} to {numbers[-1]}"


def format_behind(facts):
    """Names up to five members that have not applied a purge yet."""
    rows = [f"{row['name']} ({row['state']})" for row in facts["behind"]]
    return ", ".join(rows[:5]) + (f" and {len(rows) - 5} more" if len(rows) > 5 else "") if rows else "none"


def format_time(timestamp_ms):
    """Formats the local time of day, with milliseconds."""
    return f"{time.strftime('%H:%M:%S', time.localtime(timestamp_ms / 1000))}.{timestamp_ms % 1000:03d}"


def format_timestamp(timestamp_ms):
    """Formats the time of day, preceded by the date unless it is today."""
    day = time.strftime("%Y-%m-%d", time.localtime(timestamp_ms / 1000))
    return (
        format_time(timestamp_ms)
        if day == time.strftime("%Y-%m-%d")
        else f"{day} {format_time(timestamp_ms)}"
    )
