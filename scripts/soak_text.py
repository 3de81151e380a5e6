"""Free text of callers: blanks, words of the protocol, control characters and bytes that are no UTF-8, as latin-1 strings."""

MESSAGE_LIMIT = 1 << 20
OVERHEAD = (100, 300)  # room for the other fields of a message; the lower end exceeds the limit once a proxy has added to it
LONG_SHARE, LONGEST_SHARE = 0.02, 0.002
LONG = (4_000, 200_000)

WORDS = ("READ", "WRITE", "EXECUTE", "PREPARE", "DEALLOCATE", "SET", "BEGIN", "COMMIT", "ROLLBACK", "DISCARD", "AFTERLSN 1.1", "QUERY", "COMPLETE", "READY I -",
         "-", "qa", "qb", "pg", "s1", "1", "q READ nubk 1", "pg WRITE qb WRITE pg", "\xff\xfe", "\xc3", "caf\xc3\xa9", "\x00", "\x01", "\x0b\x0c", "\t", "\x1b[0m",
         "\x7f", "\x85", '"', "\\", "{}", "%s")
# Shapes that many callers share, among them some that begin with the same words.
SHAPES = ("q0", "q1", "qa READ qb", "qa", " qa", "qa ", "qb WRITE pg", "pg WRITE qb WRITE pg", "qb", "q READ nubk 1", "READ", "WRITE qb", "  ", " ", "q  q", "\xff q",
          "READ qa", "\x00", "\t")
NAMES = ("s1", "s2", "READ", "WRITE", "EXECUTE", "PREPARE", "-", "1", "w1", "r0", "\xff", "\x01")
VALUES = ("zone", "READ", "SET", "-", "\xe9")


class FreeText:
    """Draws free text from a generator of its own."""

    def __init__(self, random):
        self.random = random

    def chance(self, share):
        return self.random.random() < share

    def text(self):
        """Text of one character or more without CR or LF."""
        draw = self.random.random()
        if draw < LONGEST_SHARE:
            return self._filled(MESSAGE_LIMIT - self.random.randint(*OVERHEAD))
        if draw < LONGEST_SHARE + LONG_SHARE:
            return self._filled(self.random.randint(*LONG))
        words = [self.random.choice(WORDS) for _ in range(self.random.randint(1, 4))]
        text = self.random.choice((" ", " ", "  ", "   ")).join(words)
        return self.random.choice(("", "", " ", "  ")) + text + self.random.choice(("", "", " ", "  "))

    def _filled(self, size):
        return (" ".join(self.random.choice(WORDS) for _ in range(16)) * (size // 20 + 1))[:size]

    def shape(self):
        return self.random.choice(SHAPES) if self.chance(0.8) else self.text()

    def names(self, count):
        return self.random.sample(NAMES, count)

    def data(self, unique):
        """Data of a write that holds a part of its own."""
        side = self.random.random()
        text = self.text()
        return unique + text if side < 0.5 else text[:MESSAGE_LIMIT // 2] + unique
