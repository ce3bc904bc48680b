"""A filter of one slice as desk, relays and stores keep it: Bloom's."""

LOW_BITS = 64  # of a digest: where the probes start; the upper bits are the stride between them


class BloomFilter:
    """Bloom's filter (1970) with double hashing (Kirsch and Mitzenmacher, 2006); needs no building."""

    __slots__ = ("_bits", "_mask", "_probes")

    def __init__(self, log2_bits: int, probes: int) -> None:
        """2 ** log2_bits bits, so many probes for each digest."""
        self._bits = bytearray(1 << max(0, log2_bits - 3))
        self._mask = (len(self._bits) << 3) - 1
        self._probes = probes

    def add(self, digest: int) -> None:
        """Sets the digest's bits."""
        position, stride = digest, (digest >> LOW_BITS) | 1
        for _ in range(self._probes):
            position &= self._mask
            self._bits[position >> 3] |= 1 << (position & 7)
            position += stride

    def may_contain(self, digest: int) -> bool:
        """Whether all of the digest's bits are set."""
        position, stride = digest, (digest >> LOW_BITS) | 1
        for _ in range(self._probes):
            position &= self._mask
            if not self._bits[position >> 3] >> (position & 7) & 1:
                return False
            position += stride
        return True

    def bytes(self) -> int:
        """Memory of the bits."""
        return len(self._bits)

    def bits(self) -> bytes:
        """A copy of the bits: position p is bit p % 8 of byte p // 8."""
        return bytes(self._bits)

    def log2_bits(self) -> int:
        """Binary logarithm of the number of bits."""
        return (len(self._bits) << 3).bit_length() - 1

    def merge(self, bits: bytes) -> None:
        """Holds from now on what a filter of these bits holds, too; ValueError where they are not as many."""
        if len(bits) != len(self._bits):
            raise ValueError(f"{len(bits)} bytes of a filter, {len(self._bits)} are wanted")
        merged = int.from_bytes(self._bits, "little") | int.from_bytes(bits, "little")
        self._bits[:] = merged.to_bytes(len(bits), "little")


def resized(bits: bytes, log2: int) -> bytes:
    """A filter of 2 ** log2 bits that holds all that the filter of these bits holds.

    Probes are taken modulo the number of bits, a power of two: in half as many bits each falls onto itself or
    half the filter lower, in twice as many onto itself or half the filter higher.
    """
    wanted = 1 << (log2 - 3)
    while len(bits) > wanted:
        half = len(bits) // 2
        folded = int.from_bytes(bits[:half], "little") | int.from_bytes(bits[half:], "little")
        bits = folded.to_bytes(half, "little")
    return bits * (wanted // len(bits))
