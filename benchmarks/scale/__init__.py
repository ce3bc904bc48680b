"""The scale run: hollow routers beside real ones, measured by role and kind of message at several sizes."""
