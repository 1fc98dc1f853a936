"""Records of changes of templates, and their keys in the store."""

import re
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.errors import ConflictError, NotFoundError, TemplateError
from burdockthread_model.intended import AcceptedTemplate, TemplateDocument
from burdockthread_model.rendering import content_hash

CHANGE_PREFIX = "change/"
COUNTER_PREFIX = "change-count/"
ID_SEPARATOR = ":"
NUMBER_DIGITS = 10
KEPT_CHANGES = 500
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ID_PATTERN = re.compile(rf"({NAME_PATTERN.pattern}){ID_SEPARATOR}([0-9]{{1,9}})")


class ChangeState(StrEnum):
    """State of a change; rejected and accepted are final."""

    PROPOSED = "proposed"
    REVIEWED = "reviewed"
    REJECTED = "rejected"
    ACCEPTED = "accepted"


class TemplateChange(NamedTuple):
    """A proposed change of a template, kept at ``change/<template>/<number>``.

    Attributes:
        change_id: Unique id, ``<template>:<number>``.
        template: Name of the template.
        base_version: Accepted version that the change starts from; 0 for none.
        content_hash: Hash of the document, which reviews and acceptances give.
        document: The template as proposed.
        proposer: Operator who proposed it.
        proposed_s: Unix time of the proposal.
        state: Current state.
        reviewer: Operator who reviewed it, or empty.
        reviewed_s: Unix time of the review, or 0.
        accepter: Operator who accepted it, or empty.
        accepted_s: Unix time of the acceptance, or 0.
        version: Accepted version that the change became, or 0.
        comment: Reviewer's comment.
    """

    change_id: str
    template: str
    base_version: int
    content_hash: str
    document: TemplateDocument
    proposer: str
    proposed_s: float
    state: ChangeState
    reviewer: str = ""
    reviewed_s: float = 0.0
    accepter: str = ""
    accepted_s: float = 0.0
    version: int = 0
    comment: str = ""


class ChangeSummary(NamedTuple):
    """A change without its document, for histories; see `TemplateChange`."""

    change_id: str
    base_version: int
    content_hash: str
    proposer: str
    proposed_s: float
    state: ChangeState
    reviewer: str
    reviewed_s: float
    accepter: str
    accepted_s: float
    version: int
    comment: str

    @classmethod
    def from_change(cls, change: TemplateChange) -> "ChangeSummary":
        """Returns the summary of a change."""
        return cls(*(getattr(change, field) for field in cls._fields))


class HistoryPage(NamedTuple):
    """A page of a template's history.

    Attributes:
        changes: Changes, newest first.
        before: Parameter of the request for the next, older page; 0 if this is
            the last page.
    """

    changes: tuple[ChangeSummary, ...]
    before: int


class ChangeCounter(NamedTuple):
    """Number of the newest change, kept at ``change-count/<template>``."""

    newest: int


class StoredChange(NamedTuple):
    """A change with its key and the revision at which it was read."""

    change: TemplateChange
    key: str
    revision: int


def change_key(template: str, number: int) -> str:
    """Returns the store key of a change; keys sort by number."""
    return f"{CHANGE_PREFIX}{template}/{number:0{NUMBER_DIGITS}d}"


def counter_key(template: str) -> str:
    """Returns the store key of the counter of a template's changes."""
    return f"{COUNTER_PREFIX}{template}"


def new_change_id(template: str, number: int) -> str:
    """Returns the id of a change."""
    return f"{template}{ID_SEPARATOR}{number}"


def key_of_id(change_id: str) -> str:
    """Returns the store key of the change with an id.

    Raises:
        NotFoundError: The id is not of the form ``<template>:<number>``.
    """
    found = ID_PATTERN.fullmatch(change_id)
    if found is None:
        raise NotFoundError(f"no change {change_id!r}")
    return change_key(found[1], int(found[2]))


def check_name(template: str) -> None:
    """Checks that a template's name can be part of a store key.

    Raises:
        TemplateError: The name is empty, too long or has other characters.
    """
    if NAME_PATTERN.fullmatch(template) is None:
        raise TemplateError(
            "$.name: expected 1 to 63 letters, digits, dots, hyphens and underscores,"
            " the first a letter or digit"
        )


def check_hash(change: TemplateChange, given: str) -> None:
    """Checks that an operator gave the content hash of the change.

    Raises:
        ConflictError: The hash differs.
    """
    if given != change.content_hash:
        raise ConflictError(
            f"change {change.change_id} has content hash {change.content_hash}"
        )


def check_content(change: TemplateChange) -> None:
    """Checks that the stored document still has the content hash of the change.

    Raises:
        ConflictError: The document was modified in the store.
    """
    if content_hash(change.document) != change.content_hash:
        raise ConflictError(
            f"change {change.change_id} no longer has the content that was reviewed"
        )


def check_state(change: TemplateChange, expected: ChangeState) -> None:
    """Checks the state of a change.

    Raises:
        ConflictError: The change is in another state.
    """
    if change.state is not expected:
        raise ConflictError(
            f"change {change.change_id} is {change.state}, not {expected}"
        )


def accepted_template(change: TemplateChange) -> AcceptedTemplate:
    """Returns the record of the accepted version that a change became."""
    return AcceptedTemplate(
        name=change.template,
        version=change.version,
        content_hash=change.content_hash,
        change_id=change.change_id,
        accepted_s=change.accepted_s,
        document=change.document,
    )
