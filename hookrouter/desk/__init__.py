"""The control plane of purges: the desk, which orders and stores them, and relays, which pass them on.

Both run as processes of their own beside the routers. The decision logic is in hookrouter/purges; this
package connects it to HTTP, the thread of the store and the clock.
"""
