"""Hypothesis strategies for JSON values and for documents with some changes."""

import copy
import json
from collections.abc import Sequence
from typing import Any

from hypothesis import strategies as st
from hypothesis.strategies import DrawFn, SearchStrategy

Path = tuple[Any, ...]

MAX_CHANGES = 3
KINDS = ("replace", "remove", "add", "copy", "rename")


def json_values(texts: Sequence[str] = ()) -> SearchStrategy[Any]:
    """Returns a strategy for small JSON values.

    Args:
        texts: Texts to try beside arbitrary ones.
    """
    scalars = (
        st.none()
        | st.booleans()
        | st.integers(-(2**70), 2**70)
        | st.floats()
        | st.text(max_size=9)
    )
    if texts:
        scalars |= st.sampled_from(texts)
    return st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=6,
    )


def paths(value: Any, path: Path = ()) -> list[Path]:
    """Returns the path of every value within a document."""
    found = [path]
    if isinstance(value, dict):
        items = list(value.items())
    else:
        items = list(enumerate(value)) if isinstance(value, list) else []
    for key, inner in items:
        found += paths(inner, (*path, key))
    return found


@st.composite
def changed_documents(
    draw: DrawFn, texts: Sequence[str], values: SearchStrategy[Any]
) -> Any:
    """Draws a document with some values replaced, added, repeated or taken away.

    Args:
        draw: Draws from a strategy.
        texts: JSON texts of the documents.
        values: Strategy for new values.
    """
    document = json.loads(draw(st.sampled_from(texts)))
    for _ in range(draw(st.integers(1, MAX_CHANGES))):
        choices = [path for path in paths(document) if path]
        if not choices:
            break
        change(draw, document, draw(st.sampled_from(choices)), values)
    return document


def change(
    draw: DrawFn, document: Any, path: Path, values: SearchStrategy[Any]
) -> None:
    """Changes a document at a path."""
    *above, last = path
    target: Any = document
    for key in above:
        target = target[key]
    kind = draw(st.sampled_from(KINDS))
    if kind == "remove":
        del target[last]
    elif kind == "add" and isinstance(target, dict):
        target[draw(st.text(max_size=5))] = draw(values)
    elif kind == "rename" and isinstance(target, dict):
        target[draw(st.text(max_size=5))] = copy.deepcopy(target[last])
    elif kind == "copy" and isinstance(target, list):
        target.append(copy.deepcopy(target[last]))
    else:
        target[last] = draw(values)
