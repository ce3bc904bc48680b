"""The caches that are listed: name, address and start of each, and which process a send was decided for."""

from collections.abc import Callable, Iterator

from .send import Endpoint

Address = tuple[str, int]


class Endpoints:
    """The current endpoint of each listed cache, by name.

    An Endpoint stands for one process. Once another has its name or its address it is current no more.
    """

    def __init__(self, close_idle: Callable[[Endpoint], None], log: Callable[..., None]) -> None:
        """close_idle(endpoint): closes its idle connections; log: of the router."""
        self.close_idle, self.log = close_idle, log
        self.by_name: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self.by_name)

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_name)

    def get(self, name: str) -> Endpoint | None:
        """The current endpoint of this name."""
        return self.by_name.get(name)

    def is_current(self, endpoint: Endpoint) -> bool:
        """Whether its process is listed still, and no other at its address or of its name."""
        return self.by_name.get(endpoint.name) is endpoint

    def update(self, name: str, address: Address, born: int) -> None:
        """Sets the address of a cache. born: Unix time of a late start in any unit, 0 for none.

        Another process of this name is gone, and so is a cache at this address that started earlier. Caches
        at one address that started at the same time are one process; idle connections to it are closed.
        """
        previous = self.by_name.get(name)
        if previous is not None and previous.address == address and previous.born == born:
            return
        if previous is not None:
            self._replace(previous, name)
        for other in [other for other in self.by_name.values() if other.address == address]:
            if other.born > born:
                self.log("cache listed at the address of a later one, left out", cache=name, later=other.name)
                return
            if other.born < born:
                self._replace(other, name)
            else:
                self.close_idle(other)
        self.by_name[name] = Endpoint(name, address, born)

    def remove(self, name: str) -> None:
        """Removes a cache: sends that were written to it go on, others never are."""
        endpoint = self.by_name.pop(name, None)
        if endpoint is not None:
            self.close_idle(endpoint)

    def keep_only(self, names: set[str]) -> None:
        """Removes all caches but the named ones."""
        for name in [name for name in self.by_name if name not in names]:
            self.remove(name)

    def _replace(self, endpoint: Endpoint, name: str) -> None:
        self.log(
            "another process has the address or name of a cache",
            cache=endpoint.name,
            address=f"{endpoint.host}:{endpoint.port}",
            now=name,
            idle=len(endpoint.idle),
        )
        self.remove(endpoint.name)
