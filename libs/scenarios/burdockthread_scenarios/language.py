"""The scenario language: one statement a line."""

from pathlib import Path
from typing import NamedTuple

from burdockthread_model.errors import BurdockthreadError
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

GRAMMAR = r"""
statement: "promise" STRING                                    -> promise
    | "mode" MODE                                              -> mode
    | "world" "entries" INT "vms" INT ["with" parameter+]        -> world
    | ENTRY_ACTION NAME                                        -> entry_action
    | "cut" NAME "from" NAME                                   -> cut
    | "heal"                                                   -> heal
    | "fault" NAME NAME [NUMBER]                               -> fault
    | "clear" NAME                                             -> clear
    | "send" INT KEYED CLASS ("request"|"requests") ["via" NAME] -> send
    | "repeat" ["via" NAME]                                    -> repeat
    | "submit" INT "jobs" ["via" NAME]                         -> submit
    | "await" "answers"                                        -> await_answers
    | "propose" NAME ["base" INT] parameter*                   -> propose
    | "review" NAME OUTCOME?                                   -> review
    | "accept" NAME OUTCOME?                                   -> accept
    | "advance" NUMBER "s"                                     -> advance
    | "expect" "version" INT "on" "all" "within" NUMBER "s"    -> expect_version
    | "expect" NAME COMPARISON INT ["within" NUMBER "s"]       -> expect
parameter: NAME "=" NUMBER
MODE: "memory" | "processes"
ENTRY_ACTION.2: "start" | "stop" | "kill" | "freeze" | "resume"
KEYED.2: "keyed" | "unkeyed"
CLASS.2: "urgent" | "standard" | "deferred"
OUTCOME.2: "expecting conflict" | "expecting refusal"
COMPARISON: ">=" | "<=" | "="
NAME: /[a-z][a-z0-9_\/-]*/
NUMBER: /\d+(\.\d+)?/
INT: /\d+/
STRING: /"[^"]*"/
%ignore /[ \t]+/
"""


class ScenarioSyntaxError(BurdockthreadError):
    """A line that is not a statement."""


class Promise(NamedTuple):
    """The promise of the brief that a scenario proves."""

    text: str


class Mode(NamedTuple):
    """Where a scenario runs: ``memory`` or ``processes``."""

    name: str


class WorldSize(NamedTuple):
    """How many entries and VMs there are, and what the first template changes."""

    entries: int
    vms: int
    parameters: tuple[tuple[str, float], ...] = ()


class EntryAction(NamedTuple):
    """Starts, stops, kills, freezes or resumes an entry."""

    action: str
    entry: str


class Cut(NamedTuple):
    """Cuts the link from one entry to another, or to ``store``."""

    source: str
    target: str


class Heal(NamedTuple):
    """Mends all links."""


class Fault(NamedTuple):
    """Sets a fault of a stand-in; `amount` is in the fault's unit."""

    target: str
    name: str
    amount: float


class Clear(NamedTuple):
    """Clears all faults of a stand-in."""

    target: str


class Send(NamedTuple):
    """Sends requests at once, with or without idempotency keys."""

    amount: int
    keyed: bool
    request_class: str
    entry: str


class Repeat(NamedTuple):
    """Sends the last keyed requests once more with the same keys."""

    entry: str


class Submit(NamedTuple):
    """Submits deferred jobs."""

    amount: int
    entry: str


class AwaitAnswers(NamedTuple):
    """Waits until every request sent has ended."""


class Propose(NamedTuple):
    """Proposes the world's template with changed parameters."""

    change: str
    base_version: int | None
    parameters: tuple[tuple[str, float], ...]


class Review(NamedTuple):
    """Reviews a change; `outcome` is empty, ``conflict`` or ``refusal``."""

    change: str
    outcome: str


class Accept(NamedTuple):
    """Accepts a change; `outcome` is empty, ``conflict`` or ``refusal``."""

    change: str
    outcome: str


class Advance(NamedTuple):
    """Lets time pass."""

    seconds: float


class ExpectVersion(NamedTuple):
    """Expects a version of the template in force on all running entries."""

    version: int
    within_s: float


class Expect(NamedTuple):
    """Expects a count, at once or within a time."""

    counter: str
    comparison: str
    value: int
    within_s: float


Statement = (
    Promise
    | Mode
    | WorldSize
    | EntryAction
    | Cut
    | Heal
    | Fault
    | Clear
    | Send
    | Repeat
    | Submit
    | AwaitAnswers
    | Propose
    | Review
    | Accept
    | Advance
    | ExpectVersion
    | Expect
)


class Line(NamedTuple):
    """A statement and the number of its line."""

    number: int
    statement: Statement


class StatementBuilder(Transformer[Token, Statement]):
    """Builds statements from parse trees."""

    def promise(self, items: list[Token]) -> Promise:
        """Builds a statement."""
        return Promise(items[0].strip('"'))

    def mode(self, items: list[Token]) -> Mode:
        """Builds a statement."""
        return Mode(str(items[0]))

    def world(self, items: list[object]) -> WorldSize:
        """Builds a statement."""
        entries, vms, *given = items
        parameters = tuple(item for item in given if isinstance(item, tuple))
        return WorldSize(int(str(entries)), int(str(vms)), parameters)

    def entry_action(self, items: list[Token]) -> EntryAction:
        """Builds a statement."""
        return EntryAction(str(items[0]), str(items[1]))

    def cut(self, items: list[Token]) -> Cut:
        """Builds a statement."""
        return Cut(str(items[0]), str(items[1]))

    def heal(self, items: list[Token]) -> Heal:
        """Builds a statement."""
        return Heal()

    def fault(self, items: list[Token | None]) -> Fault:
        """Builds a statement."""
        return Fault(str(items[0]), str(items[1]), float(items[2] or 0))

    def clear(self, items: list[Token]) -> Clear:
        """Builds a statement."""
        return Clear(str(items[0]))

    def send(self, items: list[Token | None]) -> Send:
        """Builds a statement."""
        amount, keyed, request_class, entry = items
        return Send(int(amount or 0), keyed == "keyed", str(request_class), entry or "")

    def repeat(self, items: list[Token | None]) -> Repeat:
        """Builds a statement."""
        return Repeat(items[0] or "")

    def submit(self, items: list[Token | None]) -> Submit:
        """Builds a statement."""
        return Submit(int(items[0] or 0), items[1] or "")

    def await_answers(self, items: list[Token]) -> AwaitAnswers:
        """Builds a statement."""
        return AwaitAnswers()

    def parameter(self, items: list[Token]) -> tuple[str, float]:
        """Builds a parameter."""
        return str(items[0]), float(items[1])

    def propose(self, items: list[object]) -> Propose:
        """Builds a statement."""
        name, base, *parameters = items
        version = None if base is None else int(str(base))
        return Propose(str(name), version, tuple(parameters))  # type: ignore[arg-type]

    def review(self, items: list[Token]) -> Review:
        """Builds a statement."""
        return Review(str(items[0]), outcome(items[1:]))

    def accept(self, items: list[Token]) -> Accept:
        """Builds a statement."""
        return Accept(str(items[0]), outcome(items[1:]))

    def advance(self, items: list[Token]) -> Advance:
        """Builds a statement."""
        return Advance(float(items[0]))

    def expect_version(self, items: list[Token]) -> ExpectVersion:
        """Builds a statement."""
        return ExpectVersion(int(items[0]), float(items[1]))

    def expect(self, items: list[Token | None]) -> Expect:
        """Builds a statement."""
        counter, comparison, value, within = items
        return Expect(
            str(counter), str(comparison), int(value or 0), float(within or 0)
        )


def outcome(items: list[Token]) -> str:
    """Returns the outcome that a statement expects."""
    return items[0].removeprefix("expecting ") if items else ""


PARSER = Lark(GRAMMAR, start="statement", parser="earley", maybe_placeholders=True)


def parse_scenario(text: str, file: str) -> tuple[Line, ...]:
    """Reads a scenario.

    Args:
        text: Statements, one a line; lines that start with ``#`` are comments.
        file: Name of the file, for messages.

    Returns:
        The statements with the numbers of their lines.

    Raises:
        ScenarioSyntaxError: A line is not a statement; the message names file
            and line and what was expected.
    """
    lines = []
    for number, line in enumerate(text.splitlines(), start=1):
        content = line.strip()
        if content and not content.startswith("#"):
            lines.append(Line(number, parse_statement(content, file, number)))
    return tuple(lines)


def parse_statement(content: str, file: str, number: int) -> Statement:
    """Reads one line; see `parse_scenario`."""
    try:
        tree = PARSER.parse(content)
    except UnexpectedInput as error:
        expected = ", ".join(expected_terminals(error)) or "the end of the line"
        raise ScenarioSyntaxError(
            f"{file}:{number}: expected {expected}: {content!r}"
        ) from error
    statement: Statement = StatementBuilder().transform(tree)
    return statement


def expected_terminals(error: UnexpectedInput) -> list[str]:
    """Returns what the parser would have taken, as readable words."""
    names: set[str] = set()
    if isinstance(error, UnexpectedCharacters):
        names = set(error.allowed or ())
    elif isinstance(error, UnexpectedEOF):
        names = set(error.expected)
    return sorted(terminal_text(name) for name in names)


def terminal_text(name: str) -> str:
    """Returns the text of a keyword, or the name of a kind of word."""
    for terminal in PARSER.terminals:
        if terminal.name == name and terminal.pattern.type == "str":
            return f"{terminal.pattern.value!r}"
    return name.lower()


def read_scenario(path: Path) -> tuple[Line, ...]:
    """Reads a scenario file; see `parse_scenario`."""
    return parse_scenario(path.read_text(encoding="utf-8"), path.name)
